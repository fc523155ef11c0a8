// A gateway that is the aggregator of its failure domain, and a member of it
// that needs retry credit.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "base/rendezvous.h"
#include "dissemination/digest.h"
#include "peer/peer_transport.h"
#include "retry/credit_message.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr char kRetryCredit[] = "retry_credit";
constexpr char kService[] = "work";

// Returns the name of a member that ranks behind the gateway as an aggregator.
std::string NameBehind(const std::string& gateway) {
  for (int i = 0;; ++i) {
    std::string name = "peer-" + std::to_string(i);
    if (RankByRendezvous("aggregator", {gateway, name}).front() == gateway) {
      return name;
    }
  }
}

struct GatewayAndNeedyMember : GatewayFixture {
  explicit GatewayAndNeedyMember(bool has_pooled_retries)
      : GatewayFixture(AdmissionLimits{}, has_pooled_retries) {
    this->AddServer("s-1", Good());
    this->Configure();
    REQUIRE(this->AwaitReady());
    REQUIRE(this->Await([&] { return !this->secret.empty(); }));
    this->record = {.name = NameBehind(this->settings.name),
                    .failure_domain = "x",
                    .request_address = FreeAddress(),
                    .peer_address = FreeAddress(),
                    .incarnation = "i-1"};
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(
              this->transport,
              PeerTransport::Create(
                  this->loop, this->record.peer_address, this->secret,
                  {kDigestMethod, "heartbeat", "members_wanted",
                   "servers_wanted", kRetryCredit},
                  [this](const std::string& method,
                         const Json::Value& parameters) {
                    this->OnMessage(method, parameters);
                  }));
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
    this->members.Append({this->record.name, this->record});
  }

  void OnMessage(const std::string& method, const Json::Value& parameters) {
    if (method == kDigestMethod) {
      const auto digest = DecodeDigest(parameters, this->loop.Now());
      REQUIRE(digest);
      if (digest->retry_credit) {
        this->news.push_back(*digest->retry_credit);
      }
    } else if (method == kRetryCredit) {
      const auto message = DecodeCreditMessage(parameters);
      REQUIRE(message);
      this->messages.push_back(*message);
    }
  }

  void SendHeartbeat() {
    this->transport->Send(
        this->settings.peer_address, "heartbeat",
        EncodeHeartbeat({{.record = this->record, .is_ready = true}}));
  }

  void ReportNeed() {
    CreditMessage message{.sender = this->record.name,
                          .sender_incarnation = this->record.incarnation,
                          .sequence = ++this->last_sequence,
                          .sender_clock = this->loop.Now()};
    message.services[kService].need = {{0, 3}};
    this->transport->Send(this->settings.peer_address, kRetryCredit,
                          EncodeCreditMessage(message));
  }

  // Sends requests to the gateway while the member needs credit.
  void RunForSeconds(int count) {
    for (int second = 0; second < count; ++second) {
      this->SendHeartbeat();
      for (int half = 0; half < 2; ++half) {
        this->ReportNeed();
        for (int request = 0; request < 20; ++request) {
          REQUIRE(this->Send("GET", "/safe/1").status == 200);
        }
        this->RunFor(milliseconds(400));
      }
    }
  }

  MemberRecord record;
  std::unique_ptr<PeerTransport> transport;
  std::vector<CreditNews> news;
  std::vector<CreditMessage> messages;
  std::uint64_t last_sequence = 0;
};

// Guards against credit that the gateway earns and does not pass on.
TEST_CASE("an aggregator grants unused retry credit to a member in need") {
  GatewayAndNeedyMember fleet(true);
  fleet.RunForSeconds(4);
  REQUIRE_FALSE(fleet.messages.empty());
  const CreditMessage& message = fleet.messages.back();
  CHECK(message.is_grant);
  CHECK(message.receiver_incarnation == fleet.record.incarnation);
  CHECK(message.services.at(kService).need.empty());
  double granted = 0;
  for (const auto& [expires_at, amount] :
       message.services.at(kService).credit.lots) {
    // The credit is valid for less than 15 % of the window.
    CHECK(expires_at < fleet.loop.Now() + milliseconds(1'500));
    granted += amount;
  }
  CHECK(granted >= 1);
  CHECK(std::ranges::any_of(fleet.news, [](const CreditNews& told) {
    return told.needed_services.contains(kService);
  }));
  const std::string metrics =
      fleet.Get(fleet.settings.metrics_address, "/").body;
  CHECK(metrics.find("retry_credit_given") != std::string::npos);
  CHECK(metrics.find("retry_credit_lapsed") != std::string::npos);
}

// Guards against messages that instances of earlier versions do not expect.
TEST_CASE("without pooled_budget no retry credit is exchanged") {
  GatewayAndNeedyMember fleet(false);
  fleet.RunForSeconds(3);
  CHECK(fleet.messages.empty());
  CHECK(fleet.news.empty());
}

}  // namespace
}  // namespace parsleyquay
