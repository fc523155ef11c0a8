#include "gateway/membership_sync.h"

#include <utility>

namespace parsleyquay {

namespace {

constexpr char kMemberListRequest[] = "members_wanted";

// Six digests with fingerprints are due within `kMemberTimeout`, so a member
// stays alive in the tables of others even if some of them are lost.
constexpr Duration kFingerprintInterval = milliseconds(500);

// A response to one member may have 30 KB. In a fleet of 121 instances the gap
// limits the responses to 2 Mbit/s, a fifth of the smallest link.
constexpr Duration kResponseGap = milliseconds(50);

// A member takes about 100 bytes, so a digest stays far below the largest
// datagram.
constexpr std::size_t kMaxMembersPerDigest = 60;

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
  for (const Digest& part :
       SplitDigest(std::move(digest), kMaxMembersPerDigest)) {
    context.peer_transport->SendToAll(addresses, kDigestMethod,
                                      EncodeDigest(part, context.Now()));
  }
}

MembershipSync::MembershipSync(GatewayContext& context)
    : context(context),
      response_timer(context.loop, [this] { this->SendNextMemberList(); }) {}

const char* MembershipSync::MemberListRequestMethod() {
  return kMemberListRequest;
}

std::map<std::string, MemberUpdateResult> MembershipSync::MergeMembers(
    const Digest& digest) {
  std::map<std::string, MemberUpdateResult> changed;
  for (const DigestMember& member : digest.members) {
    const std::string& name = member.status.record.name;
    if (name == this->context.settings.name) {
      continue;
    }
    const MemberUpdateResult result = UpdateMemberStatus(
        this->context.members, member.status, member.age, this->context.Now());
    if (result != MemberUpdateResult::kNothing) {
      changed[name] = result;
    }
  }
  return changed;
}

void MembershipSync::CompareDomains(
    const Digest& digest,
    const std::function<bool(const std::string&)>& is_authoritative_for) {
  MemberListRequest request{.sender = this->context.settings.name};
  for (const auto& [domain, view] : digest.domains) {
    if (is_authoritative_for(domain) &&
        ReconcileDomainView(this->updates, this->context.members, domain, view,
                            this->context.Now())) {
      request.domains.push_back(domain);
    }
  }
  if (!request.domains.empty() && this->context.peer_transport) {
    IncrementCounter(this->context.metrics, "member_lists_wanted");
    this->context.peer_transport->Send(
        PeerAddressOf(this->context.members, digest.sender), kMemberListRequest,
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
    this->response_timer.StartOnce(kResponseGap);
  }
  this->updates.list_requests[request->sender].insert(request->domains.begin(),
                                                      request->domains.end());
}

std::map<std::string, DomainView> MembershipSync::ComputeViewsIfDue() {
  const TimePoint now = this->context.Now();
  std::map<std::string, DomainView> views;
  if (now - this->views_sent_at < kFingerprintInterval) {
    return views;
  }
  this->views_sent_at = now;
  AddSilentMembers(this->updates, this->context.members, now);
  AddOwners(this->updates, this->context.members,
            this->context.settings.failure_domain, now);
  AddOwnStatus(this->updates, this->context.members,
               this->context.settings.name, now);
  for (const std::string& domain : FailureDomains(this->context.members)) {
    views[domain] = ComputeDomainView(this->context.members, domain, now);
  }
  return views;
}

std::vector<DigestMember> MembershipSync::ChangedMembers(
    const std::string& failure_domain) const {
  return ListChangedMembers(this->updates, this->context.members,
                            failure_domain, this->context.Now());
}

void MembershipSync::SendNextMemberList() {
  const MemberListRequest request =
      TakeListRequest(this->updates, this->context.members,
                      this->context.settings.failure_domain);
  const std::string address =
      PeerAddressOf(this->context.members, request.sender);
  if (!address.empty()) {
    IncrementCounter(this->context.metrics, "member_lists_sent");
    // Receivers ignore a status that is older than the newest digest of its
    // member. The status of this instance is always current.
    RecordAlive(this->context.members, this->context.settings.name,
                this->context.Now());
    SendDigestInParts(this->context, {address},
                      {.sender = this->context.settings.name,
                       .members = ListDomainMembers(
                           this->context.members,
                           {request.domains.begin(), request.domains.end()},
                           this->context.Now())});
  }
  if (!this->updates.list_requests.empty()) {
    this->response_timer.StartOnce(kResponseGap);
  }
}

}  // namespace parsleyquay
