#ifndef PARSLEYQUAY_OPERATIONS_FLEET_READER_H_
#define PARSLEYQUAY_OPERATIONS_FLEET_READER_H_

#include <string>

#include "base/error.h"
#include "fleet/fleet_state.h"
#include "operations/blocking_http_client.h"

namespace parsleyquay {

// Reads the log from what it keeps to its tail and folds it.
Result<FleetState> ReadFleetState(BlockingHttpClient& http,
                                  const std::string& platform);

// Reads on from a state that was read before.
Result<FleetState> ReadFleetStateFrom(BlockingHttpClient& http,
                                      const std::string& platform,
                                      FleetState state);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_FLEET_READER_H_
