#include "roster/server_roster.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyquay {

namespace {

// A listing is read some time after it is written, so the computed end of the
// cold period varies by up to this much.
constexpr Duration kColdTolerance = milliseconds(900);

// Incarnation and sequence number. The greater version is the newer one.
using Version = std::pair<std::uint64_t, std::uint64_t>;

Version VersionOf(const ServerListing& listing) {
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
    const bool has_just_vanished = !entry.expires_at;
    entry.expires_at = roster.lapse_grace_until;
    return has_just_vanished ? RosterEvent::kLapsed : RosterEvent::kNone;
  }
  roster.removed_versions[server] = VersionOf(entry.listing);
  roster.servers.erase(found);
  return RosterEvent::kRemoved;
}

// Compares two listings without the sequence number and the remaining cold
// time, which change with every renewal.
bool IsSameExceptRenewal(const ServerListing& one, const ServerListing& other) {
  ServerListing renewed = other;
  renewed.sequence = one.sequence;
  renewed.cold_remaining = one.cold_remaining;
  return one == renewed;
}

// Returns what has changed from the known entry of a server to a newer one.
RosterEvent CompareEntries(const RosterEntry& known, const RosterEntry& entry) {
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
  return IsSameExceptRenewal(known.listing, entry.listing)
             ? RosterEvent::kNone
             : RosterEvent::kChanged;
}

}  // namespace

RosterEvent ApplyServerChange(ServerRoster& roster,
                              const ServerChange& change,
                              TimePoint now) {
  if (!change.listing) {
    return Remove(roster, change.server, now);
  }
  const Version version = VersionOf(*change.listing);
  const auto removed = roster.removed_versions.find(change.server);
  if (removed != roster.removed_versions.end() && version <= removed->second) {
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
  const Version known_version = VersionOf(found->second.listing);
  if (version < known_version) {
    return RosterEvent::kStale;
  }
  // If the same listing is read again, `cold_remaining` counts from the earlier
  // read, so `cold_until` is kept. A server that is listed again is reported
  // even if nothing else has changed: peers were told that its listing has
  // vanished.
  const RosterEvent renewal =
      found->second.expires_at ? RosterEvent::kRelisted : RosterEvent::kNone;
  if (version == known_version && found->second.listing == entry.listing) {
    found->second.expires_at.reset();
    return renewal;
  }
  const RosterEvent difference = CompareEntries(found->second, entry);
  const RosterEvent event =
      difference == RosterEvent::kNone ? renewal : difference;
  if (event != RosterEvent::kRestarted) {
    entry.listed_at = found->second.listed_at;
    entry.is_leaving = found->second.is_leaving;
  }
  found->second = std::move(entry);
  return event;
}

std::vector<ServerChange> ChangesFromFullList(const ServerRoster& roster,
                                              std::vector<ServerChange> list) {
  std::set<std::string> listed;
  std::ranges::transform(list, std::inserter(listed, listed.end()),
                         &ServerChange::server);
  for (const auto& [server, entry] : roster.servers) {
    if (!listed.contains(server)) {
      list.push_back({server, std::nullopt});
    }
  }
  return list;
}

std::vector<ServerChange> ListedServers(const ServerRoster& roster) {
  std::vector<ServerChange> listed;
  for (const auto& [server, entry] : roster.servers) {
    if (!entry.expires_at) {
      listed.push_back({server, entry.listing});
    }
  }
  return listed;
}

void StartLapseGracePeriod(ServerRoster& roster,
                           Duration outage,
                           TimePoint now) {
  if (outage >= kMinLapseOutage) {
    roster.lapse_grace_until = now + kLapseGracePeriod;
  }
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
    roster.removed_versions[server] =
        VersionOf(roster.servers.at(server).listing);
    roster.servers.erase(server);
  }
  return removed;
}

bool SetLeaving(ServerRoster& roster,
                const std::string& server,
                const std::string& address) {
  const auto found = roster.servers.find(server);
  const bool is_listed_there =
      found != roster.servers.end() && found->second.listing.address == address;
  return is_listed_there && !std::exchange(found->second.is_leaving, true);
}

bool MayReceiveRequests(const ServerRoster& roster, const RosterEntry& entry) {
  return !entry.listing.is_draining && !entry.is_leaving &&
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
    case RosterEvent::kRelisted:
      return "relisted";
    case RosterEvent::kStale:
      return "overtaken";
  }
  return "unknown";
}

}  // namespace parsleyquay
