#include "gateway/membership_sync.h"

#include <utility>

namespace parsleyquay {

namespace {

constexpr char kMembersWanted[] = "members_wanted";

// Six of them go into the limit of a member's silence, so some may be lost.
constexpr Duration kViewInterval = milliseconds(500);

// An answer to one member may be 30 KB; at most 2 Mbit/s go to answers of a
// fleet of 121, a fifth of the smallest link.
constexpr Duration kReplyInterval = milliseconds(50);

// About 100 bytes each: a digest stays far below the largest datagram.
constexpr std::size_t kMostMembers = 60;

}  // namespace

std::string PeerAddressOf(const MemberTable& members, const std::string& name) {
  const auto found = members.members.find(name);
  return found == members.members.end()
             ? ""
             : found->second.status.record.peer_address;
}

void SendDigestInParts(GatewayContext& context,
                       const std::vector<std::string>& addresses,
                       Digest digest) {
  for (const Digest& part : SplitDigest(std::move(digest), kMostMembers)) {
    context.peer_transport->SendToAll(addresses, kDigestMethod,
                                      EncodeDigest(part, context.Now()));
  }
}

MembershipSync::MembershipSync(GatewayContext& context)
    : context(context),
      reply_timer(context.loop, [this] { this->AnswerMemberListRequest(); }) {}

const char* MembershipSync::MemberListRequestMethod() {
  return kMembersWanted;
}

std::vector<std::string> MembershipSync::MergeMembers(const Digest& digest) {
  std::vector<std::string> changed;
  for (const DigestMember& member : digest.members) {
    const std::string& name = member.status.record.name;
    if (name != this->context.settings.name &&
        UpdateMemberStatus(this->context.members, member.status, member.age,
                           this->context.Now())) {
      changed.push_back(name);
    }
  }
  return changed;
}

void MembershipSync::CompareDomains(
    const Digest& digest,
    const std::function<bool(const std::string&)>& speaks_for) {
  MemberListRequest request{.sender = this->context.settings.name};
  for (const auto& [domain, view] : digest.domains) {
    if (speaks_for(domain) &&
        ReconcileDomainView(this->updates, this->context.members, domain, view,
                            this->context.Now())) {
      request.domains.push_back(domain);
    }
  }
  if (!request.domains.empty() && this->context.peer_transport) {
    IncrementCounter(this->context.metrics, "member_lists_wanted");
    this->context.peer_transport->Send(
        PeerAddressOf(this->context.members, digest.sender), kMembersWanted,
        EncodeMemberListRequest(request));
  }
}

void MembershipSync::OnMemberListRequest(const Json::Value& parameters) {
  const auto request = DecodeMemberListRequest(parameters);
  if (!request) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->updates.list_requests.empty()) {
    this->reply_timer.StartOnce(kReplyInterval);
  }
  this->updates.list_requests[request->sender].insert(request->domains.begin(),
                                                      request->domains.end());
}

std::map<std::string, DomainView> MembershipSync::TakeDueViews() {
  const TimePoint now = this->context.Now();
  std::map<std::string, DomainView> views;
  if (now - this->views_sent_at < kViewInterval) {
    return views;
  }
  this->views_sent_at = now;
  AddSilentMembers(this->updates, this->context.members, now);
  for (const std::string& domain : FailureDomains(this->context.members)) {
    views[domain] = ComputeDomainView(this->context.members, domain, now);
  }
  return views;
}

std::vector<DigestMember> MembershipSync::DescribeChangedMembers(
    const std::string& failure_domain) const {
  return ListChangedMembers(this->updates, this->context.members,
                            failure_domain, this->context.Now());
}

void MembershipSync::AnswerMemberListRequest() {
  const auto request =
      this->updates.list_requests.extract(this->updates.list_requests.begin());
  const std::string address =
      PeerAddressOf(this->context.members, request.key());
  if (!address.empty()) {
    IncrementCounter(this->context.metrics, "member_lists_sent");
    SendDigestInParts(
        this->context, {address},
        {.sender = this->context.settings.name,
         .members = ListDomainMembers(this->context.members, request.mapped(),
                                      this->context.Now())});
  }
  if (!this->updates.list_requests.empty()) {
    this->reply_timer.StartOnce(kReplyInterval);
  }
}

}  // namespace parsleyquay
