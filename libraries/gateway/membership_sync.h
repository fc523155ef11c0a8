#ifndef PARSLEYQUAY_GATEWAY_MEMBERSHIP_SYNC_H_
#define PARSLEYQUAY_GATEWAY_MEMBERSHIP_SYNC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dissemination/digest.h"
#include "dissemination/member_updates.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Returns the address of a member's peer transport, or "" if the member is
// unknown.
std::string PeerAddressOf(const MemberTable& members, const std::string& name);

// Sends a digest to all addresses. A digest with many members is split into
// several datagrams.
void SendDigestInParts(GatewayContext& context,
                       const std::vector<std::string>& addresses,
                       Digest digest);

// Keeps the member tables of the instances consistent by anti-entropy. Digests
// carry the members whose status has changed and a fingerprint of each failure
// domain. An instance whose own fingerprint differs requests the member list of
// that failure domain from the sender. See `MemberUpdates`.
class MembershipSync {
 public:
  explicit MembershipSync(GatewayContext& context);

  // The method of messages that request a member list.
  static const char* MemberListRequestMethod();

  // Includes the member in the digests to be sent next.
  void MarkChanged(const std::string& name) {
    this->updates.changed_members.insert(name);
  }

  // Records that a member that had been silent was heard again.
  void RecordMemberReturn() {
    RecordReturn(this->updates, this->context.Now());
  }

  bool has_changes() const { return !this->updates.changed_members.empty(); }

  // Merges the members in a digest into the member table. Returns those whose
  // status has changed, and those that had been silent.
  std::map<std::string, MemberUpdateResult> MergeMembers(const Digest& digest);

  // Compares the fingerprints in a digest with the member table, for failure
  // domains for which `is_authoritative_for` returns true. Requests
  // the member lists of those that differ, from the sender of the digest.
  void CompareDomains(
      const Digest& digest,
      const std::function<bool(const std::string&)>& is_authoritative_for);

  // Handles a request for member lists. The response is sent with a delay, so
  // that responses to several members are spaced.
  void OnMemberListRequest(const Json::Value& parameters);

  // Returns the views of all failure domains to be included in a digest, or an
  // empty map if the previous ones were returned too recently. Also marks
  // members that have timed out as changed.
  std::map<std::string, DomainView> ComputeViewsIfDue();

  // Returns the changed members of one failure domain, or of all if
  // `failure_domain` is empty.
  std::vector<DigestMember> ChangedMembers(
      const std::string& failure_domain) const;

  // To be called when the changed members have been sent.
  void ClearChanges() { this->updates.changed_members.clear(); }

 private:
  void SendNextMemberList();

  GatewayContext& context;
  Timer response_timer;
  MemberUpdates updates;
  TimePoint views_sent_at;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_MEMBERSHIP_SYNC_H_
