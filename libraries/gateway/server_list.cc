#include "gateway/server_list.h"

#include <algorithm>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// A server that drains must get no new requests after two seconds. 700 ms until
// the change is read and 250 ms until the next digest leave time for one lost
// datagram.
constexpr FollowPlan kFrequentReadPlan = {.interval = milliseconds(700),
                                          .timeout = milliseconds(700)};

// Reads in case that the digests are incomplete; rare, since every read is a
// load on the store.
constexpr FollowPlan kRareReadPlan = {.interval = seconds(40),
                                      .timeout = milliseconds(700)};

// Before the role of this instance is known.
constexpr FollowPlan kStartPlan = {.interval = milliseconds(900),
                                   .timeout = milliseconds(700)};

}  // namespace

ServerList::ServerList(GatewayContext& context, OnNewLife on_new_life)
    : context(context),
      on_new_life(std::move(on_new_life)),
      follower(context.loop,
               "servers",
               context.port.servers,
               kStartPlan,
               {.on_changes =
                    [this](std::vector<ServerChange> changes, ChangeSet set) {
                      this->OnChanges(std::move(changes), set);
                    },
                .on_availability =
                    [this](bool is_available) {
                      if (is_available) {
                        NoteListRegained(this->servers, this->context.Now());
                      }
                    }}),
      removal_timer(context.loop, [this] { this->RemoveExpiredServers(); }) {}

void ServerList::SetReading(ListReading reading) {
  this->follower.SetPlan(reading == ListReading::kForOthers ? kFrequentReadPlan
                                                            : kRareReadPlan);
}

void ServerList::SetWithdrawnDomains(const std::set<std::string>& domains) {
  this->servers.withdrawn_domains = domains;
}

void ServerList::OnPeerChanges(const Digest& digest) {
  const bool is_known =
      this->follower.position().value_or(0) >= digest.servers_to;
  if (is_known) {
    return;
  }
  if (!this->follower.Adopt(digest.servers_from, digest.servers_to,
                            digest.server_changes)) {
    this->follower.ReadNow();
  }
}

void ServerList::FillDigest(Digest& digest) {
  digest.servers_from = this->sent_position;
  digest.servers_to = this->follower.position().value_or(0);
  digest.server_changes = std::exchange(this->unsent_changes, {});
  this->sent_position = digest.servers_to;
}

const std::vector<std::string>& ServerList::NamesOf(
    const std::string& service) const {
  static const std::vector<std::string> none;
  const auto found = this->names_by_service.find(service);
  return found == this->names_by_service.end() ? none : found->second;
}

void ServerList::OnChanges(std::vector<ServerChange> changes, ChangeSet set) {
  if (set == ChangeSet::kWhole) {
    changes = ChangesToWholeList(this->servers, std::move(changes));
  }
  for (const ServerChange& change : changes) {
    this->Apply(change);
  }
  this->GroupByService();
}

void ServerList::Apply(const ServerChange& change) {
  const TimePoint now = this->context.Now();
  const RosterEvent event = ApplyServerChange(this->servers, change, now);
  if (event == RosterEvent::kNone) {
    return;
  }
  LogEvent(
      LogLevel::kInfo, "server_list",
      {{"server", change.server},
       {"change", std::string(RosterEventName(event))},
       {"service", change.listing ? change.listing->service : "-"},
       {"address", change.listing ? change.listing->address : "-"},
       {"position", std::to_string(this->follower.position().value_or(0))}});
  if (event == RosterEvent::kOvertaken) {
    return;
  }
  this->unsent_changes.push_back(change);
  if (event == RosterEvent::kAdded || event == RosterEvent::kRestarted) {
    this->on_new_life(change.server);
  }
  if (event == RosterEvent::kLapsed) {
    this->ScheduleRemoval();
  }
}

void ServerList::RemoveExpiredServers() {
  for (const std::string& server :
       RemoveLapsed(this->servers, this->context.Now())) {
    LogEvent(LogLevel::kInfo, "server_list",
             {{"server", server}, {"change", "lapsed_for_good"}});
  }
  this->GroupByService();
  this->ScheduleRemoval();
}

void ServerList::ScheduleRemoval() {
  if (const auto next = NextLapse(this->servers)) {
    this->removal_timer.StartOnce(
        std::max(Duration(0), *next - this->context.Now()));
  }
}

void ServerList::GroupByService() {
  this->names_by_service.clear();
  for (const auto& [name, entry] : this->servers.servers) {
    this->names_by_service[entry.listing.service].push_back(name);
  }
}

}  // namespace parsleyquay
