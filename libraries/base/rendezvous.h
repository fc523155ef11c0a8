#ifndef PARSLEYQUAY_BASE_RENDEZVOUS_H_
#define PARSLEYQUAY_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyquay {

// Returns the weight of a candidate for a key. This is rendezvous or highest
// random weight hashing (Thaler and Ravishankar, 1998): every process ranks the
// candidates alike, and removing a candidate moves only the keys that were
// assigned to it.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

// Sorts the candidates by their weight for `key`, highest first.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_RENDEZVOUS_H_
