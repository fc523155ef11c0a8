#ifndef PARSLEYQUAY_RPC_RPC_CODEC_H_
#define PARSLEYQUAY_RPC_RPC_CODEC_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleyquay {

// Turns notifications into JSON-RPC 2.0 text and back, by libjsonrpccpp.
// Transport is the caller's matter.
class RpcCodec {
 public:
  using Handler = std::function<void(const std::string& method,
                                     const Json::Value& parameters)>;

  // Accepts notifications of the given methods only.
  RpcCodec(const std::vector<std::string>& methods, Handler handler);
  ~RpcCodec();
  RpcCodec(const RpcCodec&) = delete;
  RpcCodec& operator=(const RpcCodec&) = delete;

  // The text of one notification.
  std::string Encode(const std::string& method,
                     const Json::Value& parameters) const;

  // Calls the handler for a notification; returns whether the text was one.
  bool DecodeAndDispatch(const std::string& text);

 private:
  class Receiver;
  std::unique_ptr<Receiver> receiver;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RPC_RPC_CODEC_H_
