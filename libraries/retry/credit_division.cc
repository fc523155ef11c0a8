#include "retry/credit_division.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace parsleyquay {

namespace {

struct Recipient {
  std::string name;
  long need = 0;  // of one priority
  long part = 0;
};

// Gives each recipient the same, up to its need. Returns what is left.
long DivideEqually(long available, std::vector<Recipient>& recipients) {
  std::vector<Recipient*> open;
  for (Recipient& recipient : recipients) {
    open.push_back(&recipient);
  }
  while (available > 0 && !open.empty()) {
    const long each = std::max(1L, available / static_cast<long>(open.size()));
    for (Recipient* recipient : open) {
      const long part =
          std::min({each, recipient->need - recipient->part, available});
      recipient->part += part;
      available -= part;
    }
    std::erase_if(open, [](const Recipient* recipient) {
      return recipient->part == recipient->need;
    });
  }
  return available;
}

}  // namespace

std::map<std::string, long> DivideRetries(
    long available,
    const std::map<std::string, RetryNeed>& needs,
    std::size_t first) {
  std::set<int> priorities;
  for (const auto& [name, need] : needs) {
    for (const auto& [priority, count] : need) {
      priorities.insert(priority);
    }
  }
  std::map<std::string, long> parts;
  for (const int priority : priorities) {
    std::vector<Recipient> recipients;
    for (const auto& [name, need] : needs) {
      const auto found = need.find(priority);
      if (found != need.end() && found->second > 0) {
        recipients.push_back({.name = name, .need = found->second});
      }
    }
    if (recipients.empty()) {
      continue;
    }
    std::rotate(recipients.begin(),
                recipients.begin() +
                    static_cast<std::ptrdiff_t>(first % recipients.size()),
                recipients.end());
    available = DivideEqually(available, recipients);
    for (const Recipient& recipient : recipients) {
      if (recipient.part > 0) {
        parts[recipient.name] += recipient.part;
      }
    }
  }
  return parts;
}

void ReduceNeed(RetryNeed& need, long retries) {
  for (auto& [priority, count] : need) {
    const long part = std::min(retries, count);
    count -= part;
    retries -= part;
  }
  std::erase_if(need, [](const auto& entry) { return entry.second == 0; });
}

}  // namespace parsleyquay
