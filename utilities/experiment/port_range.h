#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_

namespace parsleyquay {

// A range of loopback ports that no other experiment of this machine uses,
// below those that the kernel gives to outgoing connections. Whoever is bound
// to one certain port of it holds it; the system gives it back with the
// process.
struct PortRange {
  int base = 0;              // 0: none was free
  int width = 0;             // ports from `base` on
  int lock_descriptor = -1;  // a descriptor; closing it gives the range back

  bool operator==(const PortRange&) const = default;
};

PortRange ReservePortRange();

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_
