#ifndef PARSLEYQUAY_OPERATIONS_FLEET_READER_H_
#define PARSLEYQUAY_OPERATIONS_FLEET_READER_H_

#include <string>

#include "base/error.h"
#include "fleet/fleet_state.h"
#include "operations/blocking_http_client.h"

namespace parsleyquay {

// Reads the platform's log from its oldest entry to its tail and returns the
// fleet's state. Fails if the log cannot be read, or if it does not start at
// offset 0 and has no complete snapshot.
Result<FleetState> ReadFleetState(BlockingHttpClient& http,
                                  const std::string& platform);

// Applies the newer entries of the log to a state that was read earlier.
// Restores it from a snapshot if the log no longer keeps the entry after it.
Result<FleetState> ReadFleetStateFrom(BlockingHttpClient& http,
                                      const std::string& platform,
                                      FleetState state);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_FLEET_READER_H_
