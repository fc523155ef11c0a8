#include "rpc/rpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace parsleyquay {

namespace {

// Keeps the text of a call in place of sending it.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    this->text = message;
    result.clear();
  }

  std::string text;
};

// Feeds received text to the library; there is nothing to listen on.
class PassiveConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void*) override {
    // Notifications have no answer; one means that the text was malformed.
    this->has_error = !response.empty();
    return true;
  }

  bool has_error = false;
};

}  // namespace

// The connector is a base class, since it must be there before the server.
class RpcCodec::Receiver : private PassiveConnector,
                           public jsonrpc::AbstractServer<RpcCodec::Receiver> {
 public:
  Receiver(const std::vector<std::string>& methods, RpcCodec::Handler handler)
      : AbstractServer(static_cast<PassiveConnector&>(*this)),
        callback(std::move(handler)) {
    for (const std::string& method : methods) {
      this->bindAndAddNotification(
          jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, nullptr),
          &Receiver::Ignore);
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    this->callback(procedure.GetProcedureName(), input);
    this->was_handled = true;
  }

  bool Receive(const std::string& text) {
    this->was_handled = false;
    this->has_error = false;
    this->OnRequest(text, nullptr);
    return this->was_handled && !this->has_error;
  }

 private:
  void Ignore(const Json::Value&) {}

  RpcCodec::Handler callback;
  bool was_handled = false;
};

RpcCodec::RpcCodec(const std::vector<std::string>& methods, Handler handler)
    : receiver(new Receiver(methods, std::move(handler))) {}

RpcCodec::~RpcCodec() = default;

std::string RpcCodec::Encode(const std::string& method,
                             const Json::Value& parameters) const {
  CapturingConnector connector;
  jsonrpc::Client client(connector);
  client.CallNotification(method, parameters);
  return connector.text;
}

bool RpcCodec::DecodeAndDispatch(const std::string& text) {
  return this->receiver->Receive(text);
}

}  // namespace parsleyquay
