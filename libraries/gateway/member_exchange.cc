#include "gateway/member_exchange.h"

#include <utility>

namespace parsleyquay {

namespace {

constexpr char kMembersWanted[] = "members_wanted";

// Six of them go into the limit of a member's silence, so some may be lost.
constexpr Duration kViewInterval = milliseconds(500);

// An answer to one member may be 30 KB; at most 2 Mbit/s go to answers of a
// fleet of 121, a fifth of the smallest link.
constexpr Duration kAnswerGap = milliseconds(50);

// About 100 bytes each: a digest stays far below the largest datagram.
constexpr std::size_t kMostMembers = 60;

}  // namespace

std::string PeerAddressOf(const MemberTable& members, const std::string& name) {
  const auto found = members.members.find(name);
  return found == members.members.end()
             ? ""
             : found->second.status.record.peer_address;
}

void SendInParts(GatewayContext& context,
                 const std::vector<std::string>& addresses,
                 Digest digest) {
  for (const Digest& part : SplitDigest(std::move(digest), kMostMembers)) {
    context.peers->SendToAll(addresses, kDigestMethod,
                             EncodeDigest(part, context.Now()));
  }
}

MemberExchange::MemberExchange(GatewayContext& context)
    : context(context),
      answer_timer(context.loop, [this] { this->AnswerQuestion(); }) {}

const char* MemberExchange::Method() {
  return kMembersWanted;
}

std::vector<std::string> MemberExchange::TakeOver(const Digest& digest) {
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

void MemberExchange::Compare(
    const Digest& digest,
    const std::function<bool(const std::string&)>& speaks_for) {
  MembersQuestion question{.sender = this->context.settings.name};
  for (const auto& [domain, view] : digest.domains) {
    if (speaks_for(domain) &&
        ReconcileDomainView(this->updates, this->context.members, domain, view,
                            this->context.Now())) {
      question.domains.push_back(domain);
    }
  }
  if (!question.domains.empty() && this->context.peers) {
    IncrementCounter(this->context.metrics, "member_lists_wanted");
    this->context.peers->Send(
        PeerAddressOf(this->context.members, digest.sender), kMembersWanted,
        EncodeQuestion(question));
  }
}

void MemberExchange::OnQuestion(const Json::Value& parameters) {
  const auto question = DecodeQuestion(parameters);
  if (!question) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->updates.questions.empty()) {
    this->answer_timer.StartOnce(kAnswerGap);
  }
  this->updates.questions[question->sender].insert(question->domains.begin(),
                                                   question->domains.end());
}

std::map<std::string, DomainView> MemberExchange::TakeDueViews() {
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

std::vector<DigestMember> MemberExchange::Changed(
    const std::string& failure_domain) const {
  return ListChangedMembers(this->updates, this->context.members,
                            failure_domain, this->context.Now());
}

void MemberExchange::AnswerQuestion() {
  const auto question =
      this->updates.questions.extract(this->updates.questions.begin());
  const std::string address =
      PeerAddressOf(this->context.members, question.key());
  if (!address.empty()) {
    IncrementCounter(this->context.metrics, "member_lists_sent");
    SendInParts(
        this->context, {address},
        {.sender = this->context.settings.name,
         .members = ListDomainMembers(this->context.members, question.mapped(),
                                      this->context.Now())});
  }
  if (!this->updates.questions.empty()) {
    this->answer_timer.StartOnce(kAnswerGap);
  }
}

}  // namespace parsleyquay
