#ifndef PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_
#define PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_

#include <map>
#include <set>
#include <string>

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Makes this instance a member, questions other members, and has silent ones
// removed from the view.
class MembershipManager {
 public:
  MembershipManager(EntryContext& context, FleetLogReplica& log);

  void Start();

  // To be called when the log has changed the fleet's state.
  void OnFleetChanged();

  void OnGossip(const Json::Value& parameters);
  void OnProbeRequest(const Json::Value& parameters);
  void OnProbeSuccess(const Json::Value& parameters);

  // Tells all members that this instance is leaving.
  void AnnounceShutdown();

 private:
  struct ForwardedProbe {
    std::string target;
    std::string reply_address;
  };

  void Tick();
  void Ask(const std::string& name);
  void AskForHelp(const std::string& suspect);
  void JoinWhenDue();
  void StartIncarnation();
  void NoteLostRange();
  void RemoveSilentMembers();
  std::string PickMember();

  EntryContext& context;
  FleetLogReplica& log;
  Timer timer;
  std::size_t next_in_turn = 0;
  std::string former_incarnation;
  LostRange known_lost;
  std::uint64_t spread_version = 0;
  int spread_ticks = 0;
  bool is_joining = false;
  TimePoint join_not_before;
  TimePoint joined_at;
  Duration rejoin_delay = Duration(0);
  std::set<std::string> removals_sent;  // by incarnation
  std::map<std::uint64_t, ForwardedProbe> forwarded_probes;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_
