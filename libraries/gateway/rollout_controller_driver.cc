// The part of RolloutController that drives rollouts: it decides on their
// statuses, writes them to the store and tells the aggregators.

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"
#include "gateway/rollout_controller.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kMethod[] = "rollout";

// A part of the time in which outcomes reach the driver, so that its decision
// adds little to it.
constexpr Duration kTickInterval = milliseconds(200);

// The driver repeats a terminal status for this long. Afterwards only digests
// carry it.
constexpr Duration kRepeatTerminal = seconds(3);

// A driver that confirms the status of a rollout no longer is replaced after
// this time: several of its messages are lost. Shorter than kStatusLifetime.
constexpr Duration kDriverSilence = milliseconds(1'500);

// Members are heard of every second or more often.
constexpr Duration kFreshMember = milliseconds(1'200);

constexpr Duration kStoreRetryDelay = milliseconds(300);

// Aggregators of a failure domain that the driver tells: the first one and its
// standby.
constexpr std::size_t kToldAggregators = 2;

// Returns whether the instance is not partitioned from most others, as far as
// it knows: it has just heard of one, and half of them are alive.
bool IsConnected(const MemberTable& members,
                 const std::string& name,
                 TimePoint now) {
  return IsAtLeastHalfAlive(members, now) &&
         std::ranges::any_of(members.members, [&](const auto& member) {
           return member.first != name &&
                  now - member.second.last_heard_at <= kFreshMember;
         });
}

}  // namespace

std::string RolloutController::MessageMethod() {
  return kMethod;
}

void RolloutController::Start() {
  this->timer.StartRepeating(kTickInterval);
}

void RolloutController::Tick() {
  for (auto& [service, rollout] : this->rollouts) {
    if (this->handlers.owns_shard_of(service) ||
        this->IsStandIn(service, rollout)) {
      this->Drive(service, rollout);
    } else {
      rollout.is_driving = false;
      rollout.has_read_store = false;
      rollout.has_failed_to_read = false;
      rollout.wanted.reset();
    }
  }
}

// Returns whether this instance drives the rollout because its driver is
// silent. The store assigns the shard of a lost instance anew within about five
// seconds, nearly half of a short rollout. Instances may disagree on the first
// one, which does no harm, see MergeStatuses().
bool RolloutController::IsStandIn(const std::string& service,
                                  const Rollout& rollout) const {
  const bool is_pending = this->is_pending(rollout);
  if (!is_pending && (!rollout.status || IsTerminal(rollout.status->phase))) {
    return false;
  }
  const std::string& name = this->context.settings.name;
  const std::string driver = is_pending ? "" : rollout.status->driver;
  const TimePoint now = this->context.Now();
  if (this->context.is_leaving ||
      !IsConnected(this->context.members, name, now)) {
    return false;
  }
  if (rollout.is_driving && driver == name) {
    return true;
  }
  const TimePoint last_news =
      std::max(rollout.confirmed_at,
               is_pending ? rollout.started_at : rollout.changed_at);
  if (now - last_news < kDriverSilence) {
    return false;
  }
  std::vector<std::string> candidates;
  for (const auto& [member, entry] : this->context.members.members) {
    if (member != driver && IsAlive(entry, now)) {
      candidates.push_back(member);
    }
  }
  const std::vector<std::string> ranked =
      RankByRendezvous(service, std::move(candidates));
  return !ranked.empty() && ranked.front() == name;
}

// Names this instance as the driver, so that an earlier stand-in ends its work.
void RolloutController::TakeOver(Rollout& rollout) {
  const bool is_taken_over =
      std::exchange(rollout.is_driving, true) ||
      rollout.status->driver == this->context.settings.name ||
      IsTerminal(rollout.status->phase);
  if (!is_taken_over) {
    RolloutStatus status = this->CurrentStatus(rollout);
    ++status.step;
    status.driver = this->context.settings.name;
    this->Adopt(rollout, status);
  }
}

void RolloutController::OnStoreRestored() {
  for (auto& [service, rollout] : this->rollouts) {
    rollout.has_read_store = false;
    rollout.position.reset();
    rollout.stored.reset();
  }
}

void RolloutController::Drive(const std::string& service, Rollout& rollout) {
  // Before the first read, only the status that other instances have told is
  // known. It is enough to continue a rollout, but not to begin one.
  const bool may_continue = rollout.has_failed_to_read && rollout.status &&
                            !this->is_pending(rollout);
  if (!rollout.has_read_store && !may_continue) {
    this->Read(service);
    return;
  }
  if (this->is_pending(rollout)) {
    auto begun = BeginRollout(*rollout.request, rollout.status,
                              static_cast<long>(this->context.member_count()));
    if (!begun) {
      rollout.is_request_newer = false;
      return;
    }
    begun->old_versions = this->OtherVersions(service, begun->to_version);
    begun->driver = this->context.settings.name;
    this->Adopt(rollout, *begun);
  }
  this->TakeOver(rollout);
  this->Advance(rollout);
  this->Store(rollout);
  const TimePoint now = this->context.Now();
  if (!IsTerminal(rollout.status->phase) ||
      now - rollout.changed_at < kRepeatTerminal) {
    rollout.confirmed_at = now;
    this->SendNews(rollout);
  }
}

// Decides on the next status. A terminal one takes effect when it is written.
void RolloutController::Advance(Rollout& rollout) {
  RolloutStatus status = *rollout.status;
  if (IsTerminal(status.phase)) {
    return;
  }
  const TimePoint now = this->context.Now();
  const Duration elapsed = now - rollout.started_at;
  rollout.comparison = CompareVersions(rollout.evidence, elapsed);
  RolloutStatus next = NextStatus(
      status, {.elapsed = elapsed,
               .in_status = now - rollout.changed_at,
               .new_servers =
                   this->NewServers(status.service, status.to_version).size(),
               .comparison = rollout.comparison,
               .bound = this->bound()});
  if (next == status) {
    return;
  }
  next.driver = this->context.settings.name;
  next.elapsed = elapsed;
  next.requests = this->CurrentStatus(rollout).requests;
  next.exposed = this->CurrentStatus(rollout).exposed;
  if (IsTerminal(next.phase)) {
    rollout.wanted = next;
    return;
  }
  rollout.wanted.reset();
  if (this->Adopt(rollout, next)) {
    this->handlers.on_news();
  }
}

// Writes the status if the store does not have its phase. Every change of the
// share would be several more writes, which digests make unnecessary.
void RolloutController::Store(Rollout& rollout) {
  const RolloutStatus& status = *rollout.status;
  const bool is_stored = rollout.stored &&
                         rollout.stored->number == status.number &&
                         rollout.stored->phase == status.phase;
  const bool is_stopping = status.phase == RolloutPhase::kStopping;
  if (!rollout.wanted && !is_stored && !is_stopping) {
    rollout.wanted = this->CurrentStatus(rollout);
  }
  if (!rollout.wanted) {
    return;
  }
  // A terminal status is written on the newest read only: after the store has
  // returned with older data, an offset may be that of another write.
  const bool must_read =
      !rollout.position ||
      (IsTerminal(rollout.wanted->phase) && !IsTerminal(status.phase));
  if (must_read) {
    this->Read(status.service);
  } else {
    this->Write(rollout);
  }
}

void RolloutController::Read(const std::string& service) {
  Rollout& rollout = this->rollouts.at(service);
  const TimePoint now = this->context.Now();
  if (rollout.is_store_call_pending || now < rollout.next_store_call) {
    return;
  }
  rollout.is_store_call_pending = true;
  rollout.next_store_call = now + kStoreRetryDelay;
  this->context.coordination.read_rollout_statuses(
      [this, service](const std::optional<RolloutStatusPage>& page) {
        this->OnRead(service, page);
      });
}

void RolloutController::OnRead(const std::string& service,
                               const std::optional<RolloutStatusPage>& page) {
  const auto found = this->rollouts.find(service);
  if (found == this->rollouts.end()) {
    return;
  }
  Rollout& rollout = found->second;
  rollout.is_store_call_pending = false;
  if (!page) {
    rollout.has_failed_to_read = true;
    LogEvent(LogLevel::kWarning, "rollout_status_unread",
             {{"service", service}});
    return;
  }
  rollout.has_read_store = true;
  rollout.position = page->position;
  const auto stored =
      std::ranges::find(page->statuses, service, &RolloutStatus::service);
  rollout.stored =
      stored == page->statuses.end() ? std::nullopt : std::optional(*stored);
  if (rollout.stored && this->Adopt(rollout, *rollout.stored)) {
    // Another driver has written since.
    rollout.wanted.reset();
    this->handlers.on_news();
  }
  const bool is_written = rollout.wanted && rollout.stored &&
                          rollout.stored->number == rollout.wanted->number &&
                          rollout.stored->phase == rollout.wanted->phase;
  if (is_written) {
    rollout.wanted.reset();
  }
  if (rollout.wanted && rollout.is_driving) {
    this->Write(rollout);
  }
}

void RolloutController::Write(Rollout& rollout) {
  if (rollout.is_store_call_pending) {
    return;
  }
  rollout.is_store_call_pending = true;
  const RolloutStatus status = *rollout.wanted;
  this->context.coordination.write_rollout_status(
      status, *rollout.position, [this, status](PublishOutcome outcome) {
        this->OnWritten(status, outcome);
      });
}

void RolloutController::OnWritten(const RolloutStatus& status,
                                  PublishOutcome outcome) {
  const auto found = this->rollouts.find(status.service);
  if (found == this->rollouts.end()) {
    return;
  }
  Rollout& rollout = found->second;
  rollout.is_store_call_pending = false;
  if (outcome != PublishOutcome::kDone) {
    // Whether the write took effect shows in the next read.
    rollout.position.reset();
    rollout.next_store_call = this->context.Now() + kStoreRetryDelay;
    LogEvent(LogLevel::kWarning, "rollout_status_unwritten",
             {{"service", status.service},
              {"phase", std::string(RolloutPhaseName(status.phase))},
              {"outcome",
               outcome == PublishOutcome::kConflict ? "conflict" : "unknown"}});
    return;
  }
  if (rollout.position) {
    ++rollout.position->offset;
  }
  rollout.stored = status;
  if (rollout.wanted == status) {
    rollout.wanted.reset();
  }
  if (this->Adopt(rollout, status)) {
    rollout.confirmed_at = this->context.Now();
    this->SendNews(rollout);
    this->handlers.on_news();
  }
}

void RolloutController::SendNews(const Rollout& rollout) {
  if (!this->context.peer_transport) {
    return;
  }
  const TimePoint now = this->context.Now();
  std::vector<std::string> addresses;
  for (const std::string& domain : FailureDomains(this->context.members)) {
    std::vector<std::string> ranked =
        RankAggregators(this->context.members, domain, now);
    ranked.resize(std::min(ranked.size(), kToldAggregators));
    for (const std::string& name : ranked) {
      if (name != this->context.settings.name) {
        addresses.push_back(
            this->context.members.members.at(name).status.record.peer_address);
      }
    }
  }
  Json::Value parameters;
  parameters["r"] = EncodeRolloutNews({{this->CurrentStatus(rollout)}});
  this->context.peer_transport->SendToAll(addresses, kMethod, parameters);
}

}  // namespace parsleyquay
