// How many instances of a failure domain read the list of servers from the
// store, and how late, if their aggregator does not tell them about it.

#include "gateway/list_age_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace parsleyquay {
namespace {

// The largest fleets and their numbers of failure domains: 444 in 6, 850 in 8.
constexpr std::size_t kMembersOf444 = 74;
constexpr std::size_t kMembersOf850 = 107;

constexpr Duration kReadInterval = milliseconds(700);  // of the aggregator
constexpr Duration kReadTimeout = milliseconds(400);
constexpr Duration kRetryDelay = milliseconds(150);
constexpr Duration kRead = milliseconds(20);

// Returns the ages at which the members of a failure domain without an
// aggregator read the list, in ascending order. The first member is the first
// reader.
std::vector<Duration> ReadAges(std::size_t members) {
  std::vector<Duration> ages;
  for (std::size_t rank = 0; rank < members; ++rank) {
    ages.push_back(ListAgeLimit({.is_first = rank == 0, .rank = rank}));
  }
  std::ranges::sort(ages);
  return ages;
}

TEST_CASE("a failed read of the list and its retry end within two seconds") {
  for (const std::size_t members : {kMembersOf444, kMembersOf850}) {
    CHECK(ReadAges(members).back() + kReadTimeout + kRetryDelay + kRead <
          milliseconds(1'800));
  }
}

TEST_CASE("no member reads the list while the aggregator does") {
  CHECK(ListAgeLimit({.is_first = true}) > kReadInterval + kRead * 2);
}

// Guards against a store that rejects calls because a whole failure domain
// reads when its aggregator has failed.
TEST_CASE("without an aggregator, one member reads for its failure domain") {
  for (const std::size_t members : {kMembersOf444, kMembersOf850}) {
    const std::vector<Duration> ages = ReadAges(members);
    const Duration told_at = ages.front() + kRead * 2;
    CHECK(std::ranges::count_if(
              ages, [&](Duration age) { return age < told_at; }) == 1);
  }
}

TEST_CASE("members that no one tells of the list do not read all at once") {
  for (const std::size_t members : {kMembersOf444, kMembersOf850}) {
    const std::vector<Duration> ages = ReadAges(members);
    for (const Duration age : ages) {
      const auto reads = std::ranges::count_if(ages, [&](Duration other) {
        return other >= age && other < age + milliseconds(10);
      });
      CHECK(reads <= static_cast<std::ptrdiff_t>(members / 8));
    }
  }
}

}  // namespace
}  // namespace parsleyquay
