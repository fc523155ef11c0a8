#ifndef PARSLEYQUAY_HTTP_BIND_CALL_HANDLERS_H_
#define PARSLEYQUAY_HTTP_BIND_CALL_HANDLERS_H_

#include <memory>
#include <string_view>
#include <utility>

#include "http/http_call.h"

namespace parsleyquay {

// The methods of an object that handle the events of an HttpCall.
template <typename Owner>
struct CallMethods {
  bool (Owner::*may_send)(const CallConnection& connection) = nullptr;
  BodyChunk (Owner::*read_body)(char* buffer, std::size_t capacity);
  void (Owner::*on_head)(int status, const HeaderList& headers);
  bool (Owner::*on_data)(std::string_view data);
  void (Owner::*on_done)(const CallResult& result);
};

// Returns handlers that call the given methods on the owner while it exists.
// Once it has been destroyed, the request body is aborted and response data is
// discarded.
template <typename Owner>
CallHandlers BindCallHandlers(std::weak_ptr<Owner> weak,
                              CallMethods<Owner> methods) {
  CallHandlers handlers;
  if (methods.may_send) {
    handlers.may_send = [weak, methods](const CallConnection& connection) {
      const auto owner = weak.lock();
      return owner && (owner.get()->*methods.may_send)(connection);
    };
  }
  handlers.read_body = [weak, methods](char* buffer, std::size_t capacity) {
    const auto owner = weak.lock();
    return owner ? (owner.get()->*methods.read_body)(buffer, capacity)
                 : BodyChunk{};
  };
  handlers.on_head = [weak, methods](int status, const HeaderList& headers) {
    if (const auto owner = weak.lock()) {
      (owner.get()->*methods.on_head)(status, headers);
    }
  };
  handlers.on_data = [weak, methods](std::string_view data) {
    const auto owner = weak.lock();
    return owner ? (owner.get()->*methods.on_data)(data) : true;
  };
  handlers.on_done = [weak, methods](const CallResult& result) {
    if (const auto owner = weak.lock()) {
      (owner.get()->*methods.on_done)(result);
    }
  };
  return handlers;
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_BIND_CALL_HANDLERS_H_
