// Guards against two instances that grant tokens of one shard at once, and
// against a shard that stays without an owner, in random schedules of network
// partitions, outages of the store, pauses and reassignments.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>

#include "dissemination/member_table.h"
#include "rate_limiting/shard_ownership.h"

namespace parsleyquay {
namespace {

constexpr int kMembers = 5;
constexpr long kShards = 4;
constexpr Duration kStep = milliseconds(50);
constexpr Duration kLease = seconds(5);
constexpr Duration kRenewInterval = milliseconds(600);

// Other statuses are sent every 250 ms.
constexpr int kStepsPerStatus = 5;

struct Owner {
  std::string name;
  MemberTable table;
  ShardOwnership ownership;
  TimePoint renewed_at;
  bool has_store = true;
  int network = 0;  // only members with the same number reach each other
  bool is_paused = false;
};

struct Observation {
  int overlaps = 0;  // steps in which a shard had two granting owners
  int unowned = 0;   // shards without one granting owner known to all, at last
};

class Schedule {
 public:
  explicit Schedule(unsigned seed) : random(seed) {
    for (int i = 0; i < kMembers; ++i) {
      this->owners.push_back({.name = "m" + std::to_string(i)});
    }
    this->Reassign();
  }

  Observation Run() {
    Observation observation;
    for (int step = 0; step < 600; ++step) {
      if (step > 40 && this->random() % 20 == 0) {
        this->InjectFault();
      }
      this->Step(step);
      observation.overlaps += this->CountOverlaps();
    }
    for (Owner& owner : this->owners) {
      owner.has_store = true;
      owner.network = 0;
      owner.is_paused = false;
    }
    for (int step = 0; step < 80; ++step) {
      this->Step(step);
      observation.overlaps += this->CountOverlaps();
    }
    for (long shard = 0; shard < kShards; ++shard) {
      observation.unowned += this->IsKnown(shard) ? 0 : 1;
    }
    return observation;
  }

 private:
  Owner& Any() { return this->owners[this->random() % kMembers]; }

  void InjectFault() {
    switch (this->random() % 7) {
      case 0:
        this->Any().has_store ^= true;
        break;
      case 1:
        std::ranges::for_each(this->owners, [&](Owner& owner) {
          owner.has_store = this->random() % 2 == 0;
        });
        break;
      case 2:
        this->Any().network ^= 1;
        break;
      case 3:
        std::ranges::for_each(this->owners,
                              [](Owner& owner) { owner.network = 0; });
        break;
      case 4:
        this->Any().is_paused ^= true;
        break;
      default:
        this->Reassign();
    }
  }

  // The store may reassign all shards at any time.
  void Reassign() {
    ++this->generation;
    for (long shard = 0; shard < kShards; ++shard) {
      this->assigned[shard] = this->Any().name;
    }
  }

  // The store assigns the shards of members with an expired lease to others.
  void ExpireLeases() {
    for (auto& [shard, name] : this->assigned) {
      const auto renewed = this->lease_of.find(name);
      if (renewed != this->lease_of.end() && this->now >= renewed->second) {
        name = this->Any().name;
        this->lease_of.try_emplace(name, this->now + kLease);
        ++this->generation;
      }
    }
  }

  void Renew(Owner& owner) {
    owner.renewed_at = this->now;
    if (!owner.has_store) {
      return;
    }
    this->lease_of[owner.name] = this->now + kLease;
    std::vector<long> shards;
    for (const auto& [shard, name] : this->assigned) {
      if (name == owner.name) {
        shards.push_back(shard);
      }
    }
    ApplyAssignment(owner.ownership, this->generation, shards, this->now,
                    kLease);
  }

  void Step(int step) {
    this->now += kStep;
    this->ExpireLeases();
    for (Owner& owner : this->owners) {
      if (owner.is_paused) {
        continue;
      }
      const auto before =
          ListAssignedShards(owner.ownership, this->now - kStep);
      if (this->now - owner.renewed_at >= kRenewInterval) {
        this->Renew(owner);
      }
      GiveUpSuperseded(owner.ownership, [&](long shard) {
        return NewestOtherClaim(owner.table, owner.name, shard, this->now);
      });
      // A change is announced at once, as by WorkspaceRateLimiter.
      if (step % kStepsPerStatus == 0 ||
          ListAssignedShards(owner.ownership, this->now) != before) {
        this->SendStatus(owner);
      }
    }
  }

  void SendStatus(const Owner& sender) {
    const MemberStatus status{
        .record = {.name = sender.name, .incarnation = "1"},
        .owned_shards = ListAssignedShards(sender.ownership, this->now)};
    for (Owner& owner : this->owners) {
      if (!owner.is_paused && owner.network == sender.network) {
        UpdateMemberStatus(owner.table, status, Duration(0), this->now);
      }
    }
  }

  bool IsGranting(const Owner& owner, long shard) const {
    return !owner.is_paused &&
           MayGrant(owner.ownership, shard,
                    {.newest_live = NewestOtherClaim(owner.table, owner.name,
                                                     shard, this->now),
                     .newest_silent = NewestSilentClaim(owner.table, owner.name,
                                                        shard, this->now)},
                    kLease, this->now);
  }

  int CountOverlaps() const {
    int overlaps = 0;
    for (long shard = 0; shard < kShards; ++shard) {
      overlaps += std::ranges::count_if(this->owners,
                                        [&](const Owner& owner) {
                                          return this->IsGranting(owner, shard);
                                        }) > 1
                      ? 1
                      : 0;
    }
    return overlaps;
  }

  bool IsKnown(long shard) const {
    const auto found = std::ranges::find_if(
        this->owners,
        [&](const Owner& owner) { return this->IsGranting(owner, shard); });
    return found != this->owners.end() &&
           std::ranges::all_of(this->owners, [&](const Owner& owner) {
             const auto known =
                 OtherOwners(owner.table, owner.name, shard, this->now);
             return owner.name == found->name ||
                    (known.size() == 1 &&
                     known.front()->status.record.name == found->name);
           });
  }

  std::mt19937 random;
  TimePoint now = TimePoint(seconds(1'000));
  std::vector<Owner> owners;
  std::uint64_t generation = 0;
  std::map<long, std::string> assigned;       // owner by shard, at the store
  std::map<std::string, TimePoint> lease_of;  // by member
};

// Returns in how many of the schedules something was observed.
long CountSchedules(const std::function<bool(const Observation&)>& is_counted) {
  constexpr unsigned kSeeds = 500;
  long count = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    count += is_counted(Schedule(seed).Run()) ? 1 : 0;
  }
  return count;
}

TEST_CASE("a shard has one granting owner, known to all after faults") {
  CHECK(CountSchedules([](const Observation& observation) {
          return observation.unowned > 0;
        }) == 0);
}

TEST_CASE("two owners of a shard never grant at once") {
  CHECK(CountSchedules([](const Observation& observation) {
          return observation.overlaps > 0;
        }) == 0);
}

// Guards against a response that restores shards that a later one took away.
TEST_CASE("a late response to an earlier renewal has no effect") {
  constexpr TimePoint kStart = TimePoint(seconds(1'000));
  ShardOwnership ownership;
  CHECK(ApplyAssignment(ownership, 2, {1}, kStart + milliseconds(600), kLease));
  CHECK_FALSE(ApplyAssignment(ownership, 1, {1, 2}, kStart, kLease));
  CHECK(ownership.shards == std::vector<long>{1});
  ReleaseAll(ownership, kStart + seconds(1));
  CHECK_FALSE(
      ApplyAssignment(ownership, 2, {1}, kStart + milliseconds(700), kLease));
}

// Guards against two owners after a reassignment beyond a network partition.
TEST_CASE("a new owner waits for the lease of a silent one") {
  constexpr TimePoint kStart = TimePoint(seconds(1'000));
  ShardOwnership ownership;
  REQUIRE(ApplyAssignment(ownership, 1, {1}, kStart + seconds(2), kLease));
  const ShardClaims claims{.newest_silent = kStart};
  CHECK_FALSE(MayGrant(ownership, 1, claims, kLease, kStart + seconds(4)));
  REQUIRE(ApplyAssignment(ownership, 1, {1}, kStart + seconds(6), kLease));
  CHECK_FALSE(MayGrant(ownership, 1, claims, kLease, kStart + seconds(6)));
  CHECK(MayGrant(ownership, 1, claims, kLease, kStart + seconds(7)));
  CHECK(MayGrant(ownership, 1, {}, kLease, kStart + seconds(6)));
}

}  // namespace
}  // namespace parsleyquay
