#ifndef PARSLEYQUAY_TESTS_SUPPORT_STORE_STAND_IN_H_
#define PARSLEYQUAY_TESTS_SUPPORT_STORE_STAND_IN_H_

#include <functional>
#include <memory>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"
#include "store_model.h"
#include "support/scripted_server.h"

namespace parsleyquay {

// Runs the store stand-in in this process on a loopback address.
struct StoreStandIn {
  StoreStandIn();

  // Changes the faults of the store or writes a record, see StoreModel.
  void Control(const std::string& query, const std::string& body = "");

  // Runs the event loop until the condition holds or the timeout expires.
  // Returns whether the condition holds.
  bool Await(const std::function<bool()>& condition,
             Duration timeout = seconds(5));
  void RunFor(Duration duration);

  EventLoop loop;
  HttpClient client{loop};
  std::string address = FreeAddress();
  StoreModel model{loop};
  std::unique_ptr<HttpServer> server;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_STORE_STAND_IN_H_
