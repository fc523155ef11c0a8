#include "roster/server_roster.h"

#include <algorithm>
#include <iterator>

namespace parsleyquay {

namespace {

// Listings are read some time after they are written.
constexpr Duration kColdTolerance = milliseconds(900);

using Age = std::pair<std::uint64_t, std::uint64_t>;

Age AgeOf(const ServerListing& listing) {
  return {listing.incarnation, listing.sequence};
}

RosterEvent Remove(ServerRoster& roster,
                   const std::string& server,
                   TimePoint now) {
  const auto found = roster.servers.find(server);
  if (found == roster.servers.end()) {
    return RosterEvent::kNone;
  }
  RosterEntry& entry = found->second;
  if (now < roster.lapse_grace_until && !entry.listing.is_draining) {
    const bool is_new = !entry.expires_at;
    entry.expires_at = roster.lapse_grace_until;
    return is_new ? RosterEvent::kLapsed : RosterEvent::kNone;
  }
  roster.removed_versions[server] = AgeOf(entry.listing);
  roster.servers.erase(found);
  return RosterEvent::kRemoved;
}

bool SaysTheSame(const ServerListing& one, const ServerListing& other) {
  ServerListing later = other;
  later.sequence = one.sequence;
  later.cold_remaining = one.cold_remaining;
  return one == later;
}

RosterEvent CompareLives(const RosterEntry& known, const RosterEntry& entry) {
  if (known.listing.incarnation != entry.listing.incarnation ||
      known.listing.address != entry.listing.address) {
    return RosterEvent::kRestarted;
  }
  if (entry.listing.is_draining && !known.listing.is_draining) {
    return RosterEvent::kDraining;
  }
  const bool is_colder = entry.listing.cold_remaining > Duration(0) &&
                         entry.cold_until > known.cold_until + kColdTolerance;
  if (is_colder) {
    return RosterEvent::kTurnedCold;
  }
  return SaysTheSame(known.listing, entry.listing) ? RosterEvent::kNone
                                                   : RosterEvent::kChanged;
}

}  // namespace

RosterEvent ApplyServerChange(ServerRoster& roster,
                              const ServerChange& change,
                              TimePoint now) {
  if (!change.listing) {
    return Remove(roster, change.server, now);
  }
  const Age age = AgeOf(*change.listing);
  const auto departed = roster.removed_versions.find(change.server);
  if (departed != roster.removed_versions.end() && age <= departed->second) {
    return RosterEvent::kStale;
  }
  RosterEntry entry{.listing = *change.listing,
                    .cold_until = now + change.listing->cold_remaining,
                    .listed_at = now};
  const auto found = roster.servers.find(change.server);
  if (found == roster.servers.end()) {
    roster.servers.emplace(change.server, std::move(entry));
    return RosterEvent::kAdded;
  }
  const Age known_age = AgeOf(found->second.listing);
  if (age < known_age) {
    return RosterEvent::kStale;
  }
  // A listing that is read again says nothing new of how cold the server is.
  if (age == known_age && found->second.listing == entry.listing) {
    found->second.expires_at.reset();
    return RosterEvent::kNone;
  }
  const RosterEvent event = CompareLives(found->second, entry);
  if (event != RosterEvent::kRestarted) {
    entry.listed_at = found->second.listed_at;
  }
  found->second = std::move(entry);
  return event;
}

std::vector<ServerChange> ChangesFromFullList(const ServerRoster& roster,
                                              std::vector<ServerChange> list) {
  std::set<std::string> named;
  std::ranges::transform(list, std::inserter(named, named.end()),
                         &ServerChange::server);
  for (const auto& [server, entry] : roster.servers) {
    if (!named.contains(server)) {
      list.push_back({server, std::nullopt});
    }
  }
  return list;
}

void StartLapseGracePeriod(ServerRoster& roster, TimePoint now) {
  roster.lapse_grace_until = now + kLapseGracePeriod;
}

std::optional<TimePoint> NextLapseExpiry(const ServerRoster& roster) {
  std::optional<TimePoint> next;
  for (const auto& [server, entry] : roster.servers) {
    if (entry.expires_at && (!next || *entry.expires_at < *next)) {
      next = entry.expires_at;
    }
  }
  return next;
}

std::vector<std::string> RemoveExpiredServers(ServerRoster& roster,
                                              TimePoint now) {
  std::vector<std::string> removed;
  for (const auto& [server, entry] : roster.servers) {
    if (entry.expires_at && *entry.expires_at <= now) {
      removed.push_back(server);
    }
  }
  for (const std::string& server : removed) {
    roster.removed_versions[server] = AgeOf(roster.servers.at(server).listing);
    roster.servers.erase(server);
  }
  return removed;
}

bool MayReceiveRequests(const ServerRoster& roster, const RosterEntry& entry) {
  return !entry.listing.is_draining &&
         !roster.withdrawn_domains.contains(entry.listing.failure_domain);
}

std::string_view RosterEventName(RosterEvent event) {
  switch (event) {
    case RosterEvent::kNone:
      return "none";
    case RosterEvent::kAdded:
      return "added";
    case RosterEvent::kRestarted:
      return "restarted";
    case RosterEvent::kDraining:
      return "draining";
    case RosterEvent::kTurnedCold:
      return "cooled";
    case RosterEvent::kChanged:
      return "changed";
    case RosterEvent::kRemoved:
      return "removed";
    case RosterEvent::kLapsed:
      return "lapsed";
    case RosterEvent::kStale:
      return "overtaken";
  }
  return "unknown";
}

}  // namespace parsleyquay
