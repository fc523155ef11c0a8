#include "experiment/port_range.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace parsleyquay {

namespace {

constexpr int kFirstPort = 10'000;
constexpr int kPortSpan = 20'000;

// Six blocks of 64, see `TestFleet`.
constexpr int kWidth = 384;
constexpr int kLockPlace = 63;

}  // namespace

PortRange ReservePortRange() {
  constexpr int kPlaces = kPortSpan / kWidth;
  for (int i = 0; i < kPlaces; ++i) {
    const int base = kFirstPort + ((getpid() + i) % kPlaces) * kWidth;
    const int lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(base + kLockPlace));
    if (bind(lock, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
        0) {
      return {base, kWidth, lock};
    }
    close(lock);
  }
  return {};
}

}  // namespace parsleyquay
