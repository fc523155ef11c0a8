#ifndef PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_
#define PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_

#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/wire_protocol.h"

namespace parsleyquay {

// Which instances a caller of a failure domain is to use: those that live and
// are ready, of its own domain while enough of them do, else of all.
AddressList SelectInstanceAddresses(const MemberTable& members,
                                    const std::string& failure_domain,
                                    Duration lifetime,
                                    std::uint64_t random,
                                    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ADDRESS_SELECTION_H_
