#include "base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace parsleyquay {

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate) {
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (std::string& candidate : candidates) {
    weighted.emplace_back(RendezvousWeight(key, candidate),
                          std::move(candidate));
  }
  std::ranges::sort(weighted, std::greater<>{});
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& entry : weighted) {
    ranked.push_back(std::move(entry.second));
  }
  return ranked;
}

}  // namespace parsleyquay
