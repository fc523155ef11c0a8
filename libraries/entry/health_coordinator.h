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

// Pools the evidence of all instances at the home of each service, which
// decides for the fleet how its servers are to be used.
class HealthCoordinator {
 public:
  // `on_verdict` is called when a service's verdict has changed.
  HealthCoordinator(EntryContext& context,
                    ServerPool& pool,
                    std::function<void(const std::string& service)> on_verdict);

  void Start();

  // To be called after an attempt ended: reports at once what is urgent.
  void ReportIfUrgent(const std::string& service);

  // To be called before the first use of a service: learns its verdict.
  void RequestVerdictIfStale(const std::string& service);

  void OnReport(const Json::Value& parameters);
  void OnVerdict(const Json::Value& parameters);

 private:
  struct Reporter {
    std::string address;
    TimePoint heard_at;
  };

  // What this instance decides as home of a service.
  struct OwnerState {
    ServiceHealth health;
    ServiceVerdict verdict;
    std::uint64_t sequence = 0;
    std::map<std::string, Reporter> reporters;
  };

  // What this instance was told by the home of a service.
  struct Told {
    VerdictNotice notice;
    bool is_heard = false;
    std::string asked;  // the home that was last told and asked
    TimePoint asked_at = TimePoint::min();
  };

  void Tick();
  ReportCandidate PendingReport(const std::string& service);
  void Send(const ReportSchedule& schedule);
  void Report(const std::string& service);
  void TakeIn(const EvidenceReport& report);
  OwnerState& OwnerStateFor(const std::string& service);
  void DecideFor(const std::string& service, OwnerState& state);
  void NoteChanges(const std::string& service,
                   const OwnerState& state,
                   const ServiceVerdict& verdict);
  void NamePermitted(const OwnerState& state, ServiceVerdict& verdict);
  void Push(const std::string& service,
            const OwnerState& state,
            const ServiceVerdict& before);
  VerdictNotice MakeNotice(const std::string& service,
                           const OwnerState& state) const;
  void Apply(const VerdictNotice& notice);
  const std::string& OwnerOf(const std::string& service);
  double FloorOf(const std::string& service) const;

  EntryContext& context;
  ServerPool& pool;
  std::function<void(const std::string&)> on_verdict;
  Timer timer;
  std::map<std::string, OwnerState> owner_states;
  std::map<std::string, Told> told;
  ReportBudget budget;
  std::map<std::string, std::string> owner_names;  // by service, for one view
  std::uint64_t owner_names_version = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_HEALTH_COORDINATOR_H_
