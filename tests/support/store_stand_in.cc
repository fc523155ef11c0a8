#include "support/store_stand_in.h"

#include <sodium.h>

#include <catch2/catch.hpp>

#include "support/await.h"

namespace parsleyquay {

StoreStandIn::StoreStandIn() {
  REQUIRE(sodium_init() >= 0);
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->server,
            HttpServer::Create(
                this->loop, this->address,
                [this](const std::shared_ptr<ServerExchange>& exchange) {
                  this->model.Serve(0, exchange);
                }));
        return {};
      },
      [](const Error& error) { FAIL(ToString(error)); });
}

void StoreStandIn::Control(const std::string& query, const std::string& body) {
  bool is_done = false;
  this->client.Fetch({.method = "POST",
                      .address = this->address,
                      .target = "/control?" + query},
                     body, [&](const BufferedResponse&) { is_done = true; });
  REQUIRE(this->Await([&] { return is_done; }));
}

bool StoreStandIn::Await(const std::function<bool()>& condition,
                         Duration patience) {
  return RunLoopUntil(this->loop, condition, patience);
}

void StoreStandIn::RunFor(Duration duration) {
  this->Await([] { return false; }, duration);
}

}  // namespace parsleyquay
