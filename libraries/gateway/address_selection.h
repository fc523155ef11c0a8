#ifndef PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_
#define PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_

#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/wire_protocol.h"

namespace parsleyquay {

// Selects the instances that a client in `failure_domain` should connect to:
// those that are alive, ready and not leaving, in the client's own failure
// domain if there are enough of them, otherwise in all. The addresses are in
// random order; `random` seeds the shuffle. `max_ttl` is the longest time for
// which clients may cache addresses; the result carries a shorter one.
AddressList SelectInstanceAddresses(const MemberTable& members,
                                    const std::string& failure_domain,
                                    Duration max_ttl,
                                    std::uint64_t random,
                                    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_
