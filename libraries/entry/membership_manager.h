#ifndef PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_
#define PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_

#include <map>
#include <set>
#include <string>

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Makes this instance a member of the view and exchanges gossip with the other
// members. A member that does not reply in time is suspected and probed again,
// directly and, as in SWIM, through other members. If it stays unresponsive, it
// is removed from the view.
class MembershipManager {
 public:
  MembershipManager(EntryContext& context, FleetLogReplica& log);

  void Start();

  // To be called after the fleet's state has changed.
  void OnFleetChanged();

  void OnGossip(const Json::Value& parameters);
  void OnProbeRequest(const Json::Value& parameters);
  void OnProbeSuccess(const Json::Value& parameters);

  // Tells all members by gossip that this instance is shutting down.
  void AnnounceShutdown();

 private:
  struct ForwardedProbe {
    std::string target;
    std::string reply_address;
  };

  void Tick();
  void SendGossipRequest(const std::string& name);
  void RequestIndirectProbes(const std::string& suspect);
  void JoinWhenDue();
  void StartIncarnation();
  void HandleLostRange();
  void RemoveUnresponsiveMembers();
  std::string ChooseMember();

  EntryContext& context;
  FleetLogReplica& log;
  Timer timer;
  std::size_t next_round_robin = 0;
  std::string former_incarnation;
  LostRange known_lost_range;
  std::uint64_t spread_view_version = 0;
  int view_spread_ticks = 0;
  bool is_joining = false;
  TimePoint join_not_before;
  TimePoint joined_at;
  Duration rejoin_delay = Duration(0);
  std::set<std::string> removals_sent;  // by incarnation
  std::map<std::uint64_t, ForwardedProbe> forwarded_probes;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_MEMBERSHIP_MANAGER_H_
