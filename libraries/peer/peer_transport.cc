#include "peer/peer_transport.h"

#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

#include "base/socket_address.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kMaximumDatagramBytes = 60'000;
constexpr std::size_t kTagBytes = 16;
constexpr int kReceiveBufferBytes = 1 << 20;
constexpr int kDatagramsPerTurn = 64;

std::string MakeTag(const std::string& key, std::string_view text) {
  std::string tag(kTagBytes, '\0');
  crypto_generichash(
      reinterpret_cast<unsigned char*>(tag.data()), kTagBytes,
      reinterpret_cast<const unsigned char*>(text.data()), text.size(),
      reinterpret_cast<const unsigned char*>(key.data()), key.size());
  return tag;
}

std::string DeriveKey(const std::string& fleet_key) {
  std::string key(crypto_generichash_KEYBYTES, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(key.data()), key.size(),
                     reinterpret_cast<const unsigned char*>(fleet_key.data()),
                     fleet_key.size(), nullptr, 0);
  return key;
}

}  // namespace

PeerTransport::PeerTransport(EventLoop& loop,
                             const std::string& fleet_key,
                             const std::vector<std::string>& methods,
                             Handler handler)
    : authentication_key(DeriveKey(fleet_key)),
      codec(methods, std::move(handler)),
      watcher(loop, [this](int) { this->Receive(); }) {}

PeerTransport::~PeerTransport() {
  this->watcher.Stop();
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

Result<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    EventLoop& loop,
    const std::string& address,
    const std::string& fleet_key,
    const std::vector<std::string>& methods,
    Handler handler) {
  std::unique_ptr<PeerTransport> transport(
      new PeerTransport(loop, fleet_key, methods, std::move(handler)));
  BOOST_LEAF_CHECK(transport->Open(address));
  return transport;
}

Result<void> PeerTransport::Open(const std::string& address) {
  BOOST_LEAF_AUTO(socket_address, ParseSocketAddress(address));
  this->descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->descriptor < 0) {
    return Fail({"open peer socket", address, std::strerror(errno)});
  }
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  const auto* raw = reinterpret_cast<const sockaddr*>(&socket_address);
  if (bind(this->descriptor, raw, sizeof(socket_address)) != 0) {
    return Fail({"bind peer socket", address, std::strerror(errno)});
  }
  this->watcher.Start(this->descriptor, EV_READ);
  return {};
}

void PeerTransport::Send(const std::string& address,
                         const std::string& method,
                         const Json::Value& parameters) {
  this->SendDatagram(address, this->MakeDatagram(method, parameters));
}

void PeerTransport::SendToAll(const std::vector<std::string>& addresses,
                              const std::string& method,
                              const Json::Value& parameters) {
  const std::string datagram = this->MakeDatagram(method, parameters);
  for (const std::string& address : addresses) {
    this->SendDatagram(address, datagram);
  }
}

std::string PeerTransport::MakeDatagram(const std::string& method,
                                        const Json::Value& parameters) const {
  const std::string text = this->codec.Encode(method, parameters);
  return MakeTag(this->authentication_key, text) + text;
}

void PeerTransport::SendDatagram(const std::string& address,
                                 const std::string& datagram) {
  if (!this->parsed_addresses.contains(address)) {
    const Result<sockaddr_in> parsed = ParseSocketAddress(address);
    if (!parsed) {
      return;
    }
    this->parsed_addresses[address] = *parsed;
  }
  const sockaddr_in& target = this->parsed_addresses[address];
  sendto(this->descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  ++this->counters.sent_messages;
  this->counters.sent_bytes += datagram.size();
}

void PeerTransport::Receive() {
  std::array<char, kMaximumDatagramBytes> buffer;
  for (int turn = 0; turn < kDatagramsPerTurn; ++turn) {
    const ssize_t size = recv(this->descriptor, buffer.data(), buffer.size(),
                              MSG_DONTWAIT | MSG_TRUNC);
    if (size < 0) {
      return;
    }
    const auto length = static_cast<std::size_t>(size);
    ++this->counters.received_messages;
    this->counters.received_bytes += length;
    const bool fits = length <= buffer.size();
    if (!fits || !this->Accept(std::string(buffer.data(), length))) {
      ++this->counters.rejected_messages;
    }
  }
}

bool PeerTransport::Accept(const std::string& datagram) {
  if (datagram.size() <= kTagBytes) {
    return false;
  }
  const std::string text = datagram.substr(kTagBytes);
  const std::string tag = MakeTag(this->authentication_key, text);
  if (sodium_memcmp(tag.data(), datagram.data(), kTagBytes) != 0) {
    return false;
  }
  try {
    return this->codec.DecodeAndDispatch(text);
  } catch (const Json::Exception&) {
    // NOTE: jsoncpp reports a field of the wrong type only by exception.
    return false;
  }
}

}  // namespace parsleyquay
