#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "base/random_id.h"
#include "burn/burn_report.h"
#include "commands.h"
#include "declaration/declaration_section.h"
#include "fleet/record_codec.h"
#include "operations/fleet_reader.h"
#include "operations/publisher.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kKeyIdBytes = 6;
constexpr std::size_t kSecretBytes = 32;
constexpr Duration kInForcePatience = seconds(10);
constexpr Duration kInForcePause = milliseconds(200);

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "cannot read '" << path << "'\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Declaration> ReadDeclaration(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return std::nullopt;
  }
  ParsedDeclaration parsed = ParseDeclaration(*text);
  for (const IniProblem& problem : parsed.problems) {
    std::cerr << ToString(problem, path) << '\n';
  }
  if (!parsed.problems.empty()) {
    std::cerr << parsed.problems.size() << " faults; nothing was published\n";
    return std::nullopt;
  }
  return std::move(parsed.declaration);
}

std::optional<FleetState> ReadFleetOrExplain(CommandContext& context) {
  std::optional<FleetState> fleet;
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(fleet,
                          ReadFleetState(context.http, context.platform));
        return {};
      },
      [](const Error& error) { std::cerr << ToString(error) << '\n'; });
  return fleet;
}

// Shows in how many instances an offset is in force until it is in all.
int AwaitInForce(CommandContext& context, const PublishResult& published) {
  const TimePoint start = context.http.Now();
  while (true) {
    const RolloutProgress progress =
        QueryRolloutProgress(context.http, published.fleet, published.offset);
    const Duration elapsed = context.http.Now() - start;
    std::cerr << "\rin force in " << progress.applied << " of "
              << progress.members << " instances after "
              << ToMilliseconds(elapsed) << " ms" << std::flush;
    if (progress.is_complete() || elapsed > kInForcePatience) {
      std::cerr << '\n';
      return progress.is_complete() ? kExitSuccess : kExitNotInForce;
    }
    context.http.RunUntil([] { return false; }, kInForcePause);
  }
}

int PublishBody(CommandContext& context, FleetState fleet, RecordBody body) {
  const Record record{RandomHex(kIdBytes), context.author, std::move(body)};
  PublishResult published;
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(published, Publish(context.http, context.platform,
                                             std::move(fleet), record));
        return {};
      },
      [](const Error& error) { std::cerr << ToString(error) << '\n'; });
  switch (published.status) {
    case PublishStatus::kAccepted:
      std::cerr << "accepted at offset " << published.offset << '\n';
      return AwaitInForce(context, published);
    case PublishStatus::kRejected:
      std::cerr << "refused: " << published.reason << '\n';
      return kExitRefused;
    case PublishStatus::kUnknown:
      std::cerr << "not known to be in the log: " << published.reason
                << "\nlook with 'parsleyquay diff' before trying again\n";
      return kExitUnknown;
  }
  return kExitUnknown;
}

int ChangeDomain(CommandContext& context,
                 const Arguments& arguments,
                 DomainAvailability availability) {
  if (arguments.size() != 1) {
    return ReportUsageError("the name of one failure domain");
  }
  std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  const DomainChange change{fleet->next_offset, arguments.front(),
                            availability};
  return PublishBody(context, std::move(*fleet), change);
}

int IssueKey(CommandContext& context, const std::string& workspace) {
  std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  const std::string secret = RandomHex(kSecretBytes);
  const KeyIssuance issue{RandomHex(kKeyIdBytes), SecretDigest(secret),
                          workspace};
  const int code = PublishBody(context, std::move(*fleet), issue);
  if (code == kExitSuccess || code == kExitNotInForce) {
    std::cerr << "key id " << issue.key_id << "; the key is shown only now:\n";
    std::cout << secret << '\n';
  }
  return code;
}

Json::Value FetchJson(CommandContext& context,
                      const std::string& address,
                      const std::string& target) {
  const BufferedResponse response = context.http.Get(address, target);
  const auto json = ParseJson(response.body);
  return response.is_ok() && json ? *json : Json::Value();
}

// Members of the view that the first reachable instance or the log gives.
std::vector<std::string> MemberAddresses(CommandContext& context,
                                         const FleetState& fleet) {
  std::vector<std::string> addresses;
  for (const auto& [name, member] : fleet.view.members) {
    addresses.push_back(member.http_address);
  }
  return addresses.empty() ? context.instance_addresses : addresses;
}

}  // namespace

int RunValidate(CommandContext&, const Arguments& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError("one file");
  }
  if (!ReadDeclaration(arguments.front())) {
    return kExitBadInput;
  }
  std::cout << "the declaration is good\n";
  return kExitSuccess;
}

int RunDiff(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError("one file");
  }
  const std::optional<Declaration> wanted = ReadDeclaration(arguments.front());
  if (!wanted) {
    return kExitBadInput;
  }
  const std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  for (const auto& change : FindChanges(fleet->declaration, *wanted)) {
    std::cout << ToString(change) << '\n';
  }
  return kExitSuccess;
}

int RunPublish(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError("one file");
  }
  const std::optional<Declaration> wanted = ReadDeclaration(arguments.front());
  if (!wanted) {
    return kExitBadInput;
  }
  std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  DeclarationChange change{fleet->next_offset,
                           FindChanges(fleet->declaration, *wanted)};
  if (change.changes.empty()) {
    std::cerr << "nothing to change\n";
    return kExitSuccess;
  }
  return PublishBody(context, std::move(*fleet), std::move(change));
}

int RunWithdraw(CommandContext& context, const Arguments& arguments) {
  return ChangeDomain(context, arguments, DomainAvailability::kWithdrawn);
}

int RunRestore(CommandContext& context, const Arguments& arguments) {
  return ChangeDomain(context, arguments, DomainAvailability::kInService);
}

int RunKey(CommandContext& context, const Arguments& arguments) {
  const bool is_issue = arguments.size() == 2 && arguments[0] == "issue";
  const bool is_withdrawal =
      arguments.size() == 2 && arguments[0] == "withdraw";
  if (is_issue) {
    return IssueKey(context, arguments[1]);
  }
  if (!is_withdrawal) {
    return ReportUsageError("'issue WORKSPACE' or 'withdraw KEY_ID'");
  }
  std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  return PublishBody(context, std::move(*fleet), KeyRevocation{arguments[1]});
}

int RunRemove(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError("the name of one instance whose process has ended");
  }
  std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  const auto member = fleet->view.members.find(arguments.front());
  if (member == fleet->view.members.end()) {
    std::cerr << "no instance " << arguments.front() << " is a member\n";
    return kExitRefused;
  }
  const MemberDeparture departure{member->first, member->second.incarnation,
                                  DepartureReason::kConfirmedStopped};
  return PublishBody(context, std::move(*fleet), departure);
}

int RunStatus(CommandContext& context, const Arguments&) {
  const std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  Json::Value all = Json::arrayValue;
  for (const std::string& address :
       MemberAddresses(context, fleet.value_or(FleetState{}))) {
    Json::Value status = FetchJson(context, address, "/.parsleyquay/status");
    status["address"] = address;
    all.append(status);
  }
  if (context.prints_json) {
    std::cout << ToCompactText(all) << '\n';
    return kExitSuccess;
  }
  for (const Json::Value& status : all) {
    const bool is_silent = !status.isMember("name");
    std::cout << status["address"].asString() << "  "
              << (is_silent ? "no answer" : status["name"].asString())
              << "  offset " << status["offset"].asUInt64() << "  members "
              << status["members"].asUInt64() << "  "
              << (status["is_current"].asBool() ? "current" : "NOT CURRENT")
              << (status["is_log_away"].asBool() ? "  LOG AWAY" : "")
              << (status["is_leaving"].asBool() ? "  leaving" : "")
              << "  active " << status["active_requests"].asUInt64() << '\n';
  }
  return fleet ? kExitSuccess : kExitUnknown;
}

int RunReport(CommandContext& context, const Arguments&) {
  const std::optional<FleetState> fleet = ReadFleetOrExplain(context);
  if (!fleet) {
    return kExitUnknown;
  }
  std::vector<BurnRow> rows;
  for (const std::string& address : MemberAddresses(context, *fleet)) {
    for (const Json::Value& row :
         FetchJson(context, address, "/.parsleyquay/burn")) {
      rows.push_back(BurnRowFromJson(row));
    }
  }
  const std::vector<BurnReportLine> lines =
      MakeBurnReport(MergeRows(rows), fleet->declaration);
  if (!context.html_file.empty()) {
    std::ofstream(context.html_file) << RenderHtml(lines);
  }
  std::cout << (context.prints_json ? ToCompactText(RenderJson(lines)) + "\n"
                                    : RenderText(lines));
  return kExitSuccess;
}

}  // namespace parsleyquay
