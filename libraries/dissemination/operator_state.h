#ifndef PARSLEYQUAY_DISSEMINATION_OPERATOR_STATE_H_
#define PARSLEYQUAY_DISSEMINATION_OPERATOR_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "coordination/coordination_store.h"

namespace parsleyquay {

// The newest withdrawal or restoration of a failure domain, and the era of the
// store in which it was read.
struct KnownWithdrawal {
  bool is_withdrawn = true;
  std::uint64_t era = 0;

  bool operator==(const KnownWithdrawal&) const = default;
};

// The newest rollout request of a service, std::nullopt if it was deleted.
struct KnownRolloutRequest {
  std::optional<RolloutRequest> request;
  std::uint64_t era = 0;

  bool operator==(const KnownRolloutRequest&) const = default;
};

// What an instance knows from the operators' feed, except for the
// configuration. Restorations and deletions are kept, so that an instance that
// gets the state from another one learns of them.
struct OperatorState {
  std::map<std::string, KnownWithdrawal> withdrawals;  // by failure domain
  std::map<std::string, KnownRolloutRequest> rollout_requests;  // by service

  bool operator==(const OperatorState&) const = default;
};

// Applies changes read from the store in `era`. A snapshot replaces the state,
// except for the first one of an era: what that lacks may be newer than the
// data with which the store has returned.
void ApplyReadChanges(OperatorState& state,
                      const std::vector<OperatorChange>& changes,
                      ChangeSetKind kind,
                      bool is_first_of_era,
                      std::uint64_t era);

// Takes over the whole state that another instance has in `era`. Returns the
// changes that lead there: the configuration, and what differs from the known
// state. What is missing was deleted, unless it was read in an earlier era.
std::vector<OperatorChange> ApplyPeerState(OperatorState& state,
                                           std::vector<OperatorChange> told,
                                           std::uint64_t era);

// Returns what was read in `era`, as changes that ApplyPeerState() takes. What
// is kept from an earlier era may have been deleted before the store returned,
// which only some instances know; so each instance keeps its own.
std::vector<OperatorChange> ListChanges(const OperatorState& state,
                                        std::uint64_t era);

std::set<std::string> WithdrawnDomains(const OperatorState& state);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_OPERATOR_STATE_H_
