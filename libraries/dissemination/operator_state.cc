#include "dissemination/operator_state.h"

#include <utility>

namespace parsleyquay {

namespace {

void ApplyChange(OperatorState& state,
                 const OperatorChange& change,
                 std::uint64_t era) {
  if (const auto* withdrawal = std::get_if<DomainWithdrawal>(&change)) {
    state.withdrawals[withdrawal->failure_domain] = {withdrawal->is_withdrawn,
                                                     era};
  } else if (const auto* rollout = std::get_if<RolloutRequestChange>(&change)) {
    state.rollout_requests[rollout->service] = {rollout->request, era};
  }
}

// Whether the change makes no difference to the state.
bool IsKnown(const OperatorState& state, const OperatorChange& change) {
  if (const auto* withdrawal = std::get_if<DomainWithdrawal>(&change)) {
    const auto found = state.withdrawals.find(withdrawal->failure_domain);
    const bool is_withdrawn =
        found != state.withdrawals.end() && found->second.is_withdrawn;
    return is_withdrawn == withdrawal->is_withdrawn;
  }
  if (const auto* rollout = std::get_if<RolloutRequestChange>(&change)) {
    const auto found = state.rollout_requests.find(rollout->service);
    return found == state.rollout_requests.end()
               ? !rollout->request
               : found->second.request == rollout->request;
  }
  return false;
}

}  // namespace

void ApplyReadChanges(OperatorState& state,
                      const std::vector<OperatorChange>& changes,
                      ChangeSetKind kind,
                      bool is_first_of_era,
                      std::uint64_t era) {
  if (kind == ChangeSetKind::kSnapshot && !is_first_of_era) {
    state = {};
  }
  for (const OperatorChange& change : changes) {
    ApplyChange(state, change, era);
  }
}

std::vector<OperatorChange> ApplyPeerState(OperatorState& state,
                                           std::vector<OperatorChange> told,
                                           std::uint64_t era) {
  OperatorState told_state;
  for (const OperatorChange& change : told) {
    ApplyChange(told_state, change, era);
  }
  for (const auto& [domain, known] : state.withdrawals) {
    if (known.era == era && !told_state.withdrawals.contains(domain)) {
      told.emplace_back(DomainWithdrawal{domain, false});
    }
  }
  for (const auto& [service, known] : state.rollout_requests) {
    if (known.era == era && !told_state.rollout_requests.contains(service)) {
      told.emplace_back(RolloutRequestChange{service, std::nullopt});
    }
  }
  std::vector<OperatorChange> different;
  for (OperatorChange& change : told) {
    const bool is_different = !IsKnown(state, change);
    ApplyChange(state, change, era);
    if (is_different) {
      different.push_back(std::move(change));
    }
  }
  return different;
}

std::vector<OperatorChange> ListChanges(const OperatorState& state,
                                        std::uint64_t era) {
  std::vector<OperatorChange> changes;
  for (const auto& [domain, known] : state.withdrawals) {
    if (known.era == era) {
      changes.emplace_back(DomainWithdrawal{domain, known.is_withdrawn});
    }
  }
  for (const auto& [service, known] : state.rollout_requests) {
    if (known.era == era) {
      changes.emplace_back(RolloutRequestChange{service, known.request});
    }
  }
  return changes;
}

std::set<std::string> WithdrawnDomains(const OperatorState& state) {
  std::set<std::string> domains;
  for (const auto& [domain, known] : state.withdrawals) {
    if (known.is_withdrawn) {
      domains.insert(domain);
    }
  }
  return domains;
}

}  // namespace parsleyquay
