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

// The address of a member's link, "" for one that is not known.
std::string PeerAddressOf(const MemberTable& members, const std::string& name);

// Sends a digest, in parts where it names many members.
void SendDigestInParts(GatewayContext& context,
                       const std::vector<std::string>& addresses,
                       Digest digest);

// Keeps the instances agreed on who lives and what each last said of itself:
// names members of whom there is news, compares the rest by fingerprint, and
// asks and answers where they differ. See `MemberUpdates`.
class MembershipSync {
 public:
  explicit MembershipSync(GatewayContext& context);

  // The method of its questions.
  static const char* MemberListRequestMethod();

  // Names the member in the next digest.
  void MarkChanged(const std::string& name) {
    this->updates.changed_members.insert(name);
  }

  // Takes over what a digest says of other members; returns those of whom it
  // says anything new.
  std::vector<std::string> MergeMembers(const Digest& digest);

  // Compares what a digest says of whole failure domains, of those for which
  // `speaks_for` is true, and asks its sender where it differs.
  void CompareDomains(
      const Digest& digest,
      const std::function<bool(const std::string&)>& speaks_for);

  void OnMemberListRequest(const Json::Value& parameters);

  // What to say of each failure domain; nothing until it is due again.
  std::map<std::string, DomainView> TakeDueViews();

  // Names the changed members, of one failure domain or (empty) of all.
  std::vector<DigestMember> DescribeChangedMembers(
      const std::string& failure_domain) const;

  void ClearChanges() { this->updates.changed_members.clear(); }

 private:
  void AnswerMemberListRequest();

  GatewayContext& context;
  Timer reply_timer;
  MemberUpdates updates;
  TimePoint views_sent_at;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_MEMBERSHIP_SYNC_H_
