#ifndef PARSLEYQUAY_COORDINATION_STORE_ERA_H_
#define PARSLEYQUAY_COORDINATION_STORE_ERA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// The newest era of the store that an instance knows, from the store's
// responses or from its peers. The store increments its era each time it
// returns with older data.
class StoreEra {
 public:
  using OnNewEra = std::function<void(std::uint64_t era)>;

  std::uint64_t known() const { return this->known_era; }

  // Calls `on_new_era` whenever the era has grown.
  void Watch(OnNewEra on_new_era) {
    this->watchers.push_back(std::move(on_new_era));
  }

  // Records an era without calling the watchers, so that the response that
  // states it can be handled first. Returns whether it is a new one.
  bool Raise(std::uint64_t era) {
    const bool is_new = era > this->known_era;
    this->known_era = is_new ? era : this->known_era;
    return is_new;
  }

  // Calls the watchers if the era has grown since the last call.
  void NotifyWatchers() {
    if (this->notified_era == this->known_era) {
      return;
    }
    this->notified_era = this->known_era;
    for (const OnNewEra& on_new_era : this->watchers) {
      on_new_era(this->known_era);
    }
  }

 private:
  std::uint64_t known_era = 0;
  std::uint64_t notified_era = 0;
  std::vector<OnNewEra> watchers;
};

// Returns how long the instance with this rank among all members waits before
// it reads again in a new era. All instances learn of the era at about the same
// time, so their reads are spread over `spread`.
inline Duration NewEraReadDelay(std::size_t rank, Duration spread) {
  constexpr std::size_t kSteps = 20;
  return spread * static_cast<long>(rank % kSteps) / static_cast<long>(kSteps);
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_STORE_ERA_H_
