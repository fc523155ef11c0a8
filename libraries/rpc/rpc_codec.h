#ifndef PARSLEYQUAY_RPC_RPC_CODEC_H_
#define PARSLEYQUAY_RPC_RPC_CODEC_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleyquay {

// Encodes and decodes JSON-RPC 2.0 notifications with libjsonrpccpp. The caller
// provides the transport.
class RpcCodec {
 public:
  using Handler = std::function<void(const std::string& method,
                                     const Json::Value& parameters)>;

  // Accepts notifications of the given methods only.
  RpcCodec(const std::vector<std::string>& methods, Handler handler);
  ~RpcCodec();
  RpcCodec(const RpcCodec&) = delete;
  RpcCodec& operator=(const RpcCodec&) = delete;

  // Returns the text of a notification.
  std::string Encode(const std::string& method,
                     const Json::Value& parameters) const;

  // Calls the handler if the text is a notification of an accepted method, and
  // returns whether it is.
  bool DecodeAndDispatch(const std::string& text);

 private:
  class Receiver;
  std::unique_ptr<Receiver> receiver;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RPC_RPC_CODEC_H_
