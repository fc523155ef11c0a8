#ifndef PARSLEYQUAY_ENTRY_HEALTH_COORDINATOR_H_
#define PARSLEYQUAY_ENTRY_HEALTH_COORDINATOR_H_

#include <functional>
#include <map>
#include <string>

#include "detection/evidence_message.h"
#include "detection/service_health.h"
#include "entry/entry_context.h"
#include "entry/server_pool.h"
#include "event/timer.h"

namespace parsleyquay {

// Exchanges evidence of faulty backend servers between the instances. Each
// service has one owner, the member that rendezvous hashing assigns to it. All
// instances that use the service report the outcomes of their requests to it;
// it decides for the fleet which of the service's servers are ejected or
// limited and sends the verdict to the instances that it affects.
class HealthCoordinator {
 public:
  // Calls `on_verdict` after the verdict on a service has changed.
  HealthCoordinator(EntryContext& context,
                    ServerPool& pool,
                    std::function<void(const std::string& service)> on_verdict);

  void Start();

  // To be called after an attempt at a server of `service` has ended. Reports
  // at once if the unreported evidence is urgent (a server's restart, or
  // several errors or slow requests) and the report budget allows it.
  void ReportIfUrgent(const std::string& service);

  // To be called before each use of `service`. Sends the service's owner a
  // report, to which it replies with its verdict, if no verdict has been
  // received or the owner may no longer send changes.
  void RequestVerdictIfStale(const std::string& service);

  void OnReport(const Json::Value& parameters);
  void OnVerdict(const Json::Value& parameters);

 private:
  struct Reporter {
    std::string address;
    TimePoint last_report_at;
  };

  // State of a service that this instance owns.
  struct OwnedService {
    ServiceHealth health;
    ServiceVerdict verdict;
    std::uint64_t sequence = 0;
    std::map<std::string, Reporter> reporters;
  };

  // The latest verdict on a service from its owner, and the latest report to
  // it.
  struct ReceivedVerdict {
    VerdictNotice notice;
    bool has_notice = false;
    std::string last_report_owner;  // receiver of the latest report
    TimePoint last_report_at = TimePoint::min();
  };

  void Tick();
  ReportCandidate PendingReport(const std::string& service);
  void SendReports(const ReportSchedule& schedule);
  void SendReport(const std::string& service);
  void ApplyReport(const EvidenceReport& report);
  OwnedService& FindOrAddOwnedService(const std::string& service);
  void UpdateVerdict(const std::string& service, OwnedService& owned);
  void RecordChanges(const std::string& service,
                     const OwnedService& owned,
                     const ServiceVerdict& verdict);
  void ChoosePermittedInstances(const OwnedService& owned,
                                ServiceVerdict& verdict);
  void NotifyReporters(const std::string& service,
                       const OwnedService& owned,
                       const ServiceVerdict& before);
  VerdictNotice MakeNotice(const std::string& service,
                           const OwnedService& owned) const;
  void ApplyNotice(const VerdictNotice& notice);
  const std::string& OwnerOf(const std::string& service);
  double MinHealthyPercentOf(const std::string& service) const;

  EntryContext& context;
  ServerPool& pool;
  std::function<void(const std::string&)> on_verdict;
  Timer timer;
  std::map<std::string, OwnedService> owned_services;
  std::map<std::string, ReceivedVerdict> received_verdicts;
  ReportBudget budget;
  // By service, in the view of `owner_names_version`.
  std::map<std::string, std::string> owner_names;
  std::uint64_t owner_names_version = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_HEALTH_COORDINATOR_H_
