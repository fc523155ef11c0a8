#ifndef PARSLEYQUAY_ROSTER_SERVER_ROSTER_H_
#define PARSLEYQUAY_ROSTER_SERVER_ROSTER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/coordination_store.h"

namespace parsleyquay {

// A backend server that is listed in the store.
struct RosterEntry {
  ServerListing listing;
  TimePoint cold_until;
  TimePoint listed_at;  // when this incarnation of the server was first read
  // Whether this incarnation has stated in a response that it leaves. It never
  // takes that back.
  bool is_leaving = false;
  // When the server is removed. Set if its listing has vanished, but the server
  // is still used, see kLapseGracePeriod.
  std::optional<TimePoint> expires_at;

  bool operator==(const RosterEntry&) const = default;
};

// The backend servers of all services, and the failure domains that operators
// have withdrawn.
struct ServerRoster {
  std::map<std::string, RosterEntry> servers;  // by name
  // The last incarnation and sequence number of servers that are no longer
  // listed. A listing that is not newer has arrived late and is ignored.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      removed_versions;
  std::set<std::string> withdrawn_domains;
  // End of the grace period after an outage of the store, see
  // kLapseGracePeriod.
  TimePoint lapse_grace_until;

  bool operator==(const ServerRoster&) const = default;
};

// How long a server is still used if its listing vanishes after an outage of
// the store. Listings expire in an outage because the servers cannot renew
// them. Servers that still run are listed again within about two seconds after
// the outage; the users' documentation states that time.
constexpr Duration kLapseGracePeriod = milliseconds(2'200);

// The shortest outage of the store in which a listing can expire. A listing
// expires 4.5 s after its last renewal, three times the interval of renewals,
// and the last one before an outage is at most that interval of 1.5 s old. The
// interval varies, so half a second less than the difference.
constexpr Duration kMinLapseOutage = milliseconds(2'500);

// The effect of a change on the roster, for the log.
enum class RosterEvent {
  kNone,
  kAdded,
  kRestarted,
  kDraining,
  kTurnedCold,  // became cold, or will be cold for longer than known
  kChanged,     // anything else, such as the end of draining
  kRemoved,
  kLapsed,    // the listing vanished; the server is used for the grace period
  kRelisted,  // listed again within the grace period
  kStale,     // older than the known listing, and ignored
};

// Applies a listing, or the removal of a listing, that was read at `now`. A
// listing older than the known one is ignored. Within the grace period after an
// outage, a removed server is kept until the period ends, unless it is
// draining.
RosterEvent ApplyServerChange(ServerRoster& roster,
                              const ServerChange& change,
                              TimePoint now);

// Returns the changes that make the roster hold exactly the servers of a full
// list.
std::vector<ServerChange> ChangesFromFullList(const ServerRoster& roster,
                                              std::vector<ServerChange> list);

// Returns the listed servers, without those whose listing has vanished.
std::vector<ServerChange> ListedServers(const ServerRoster& roster);

// Called when the list of servers can be read again after an outage of the
// store. Starts the grace period if listings can have expired in that outage.
void StartLapseGracePeriod(ServerRoster& roster,
                           Duration outage,
                           TimePoint now);

// Returns when the next server whose listing has vanished is to be removed, or
// std::nullopt if there is none.
std::optional<TimePoint> NextLapseExpiry(const ServerRoster& roster);

// Removes the servers whose listings have vanished and did not return in time.
// Returns their names.
std::vector<std::string> RemoveExpiredServers(ServerRoster& roster,
                                              TimePoint now);

// Records that the server at `address` leaves. Returns whether it is listed
// there and that was not known.
bool SetLeaving(ServerRoster& roster,
                const std::string& server,
                const std::string& address);

// Returns whether requests may be sent to the server: it is not draining or
// leaving, and its failure domain is not withdrawn.
bool MayReceiveRequests(const ServerRoster& roster, const RosterEntry& entry);

// Returns the name of the event in log lines.
std::string_view RosterEventName(RosterEvent event);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROSTER_SERVER_ROSTER_H_
