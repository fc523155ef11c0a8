#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_

namespace parsleyquay {

// Consecutive loopback ports that are reserved for one test program or
// measurement on this machine. They lie below the ephemeral ports that the
// kernel assigns to outgoing connections. A socket bound to one fixed port of
// the range reserves it; the kernel closes the socket when the process ends.
struct PortRange {
  int base = 0;              // first port; 0: no range was free
  int width = 0;             // number of ports
  int lock_descriptor = -1;  // the bound socket; closing it releases the range

  bool operator==(const PortRange&) const = default;
};

// Reserves a free range. Returns a range with `base` 0 if there is none.
PortRange ReservePortRange();

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PORT_RANGE_H_
