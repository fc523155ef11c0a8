#ifndef PARSLEYQUAY_DISSEMINATION_TRANSFER_QUEUE_H_
#define PARSLEYQUAY_DISSEMINATION_TRANSFER_QUEUE_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dissemination/configuration_transfer.h"

namespace parsleyquay {

// A member's request, and how far it is answered.
struct PendingTransfer {
  ConfigurationRequest request;
  TimePoint requested_at;
  // Null until the state that the member wants has been read.
  std::shared_ptr<const ConfigurationTransfer> transfer;
  std::uint64_t next_index = 0;

  bool operator==(const PendingTransfer&) const = default;
};

// The requests that an instance answers, at most one of each member. Within an
// interval a limited number of fragments and bytes is sent, so that the answers
// to many members do not fill the link.
struct TransferQueue {
  std::deque<PendingTransfer> pending;
  TimePoint interval_began;
  int sent_in_interval = 0;  // fragments
  std::size_t sent_bytes_in_interval = 0;

  bool operator==(const TransferQueue&) const = default;
};

struct OutgoingFragment {
  std::string member;
  ConfigurationFragment fragment;

  bool operator==(const OutgoingFragment&) const = default;
};

constexpr Duration kTransferInterval = milliseconds(50);

// What an instance answers with.
struct TransferSource {
  std::string name;       // of this instance
  FeedPosition position;  // up to which it has read the feed
  // Returns the state without the configuration if the member's version of it
  // is the own one. Returns null if there is none, or if it is too long.
  std::function<std::shared_ptr<const ConfigurationTransfer>(
      std::uint64_t configuration_version)>
      make_transfer;
};

constexpr int kFragmentsPerInterval = 32;

// Returns how many bytes may be sent in each interval with a link of `link`
// Mbit/s: half of what it carries. One fragment is sent in any case.
std::size_t BytesPerInterval(double link);

// Adds a request. One whose answer is in progress already has no effect.
void AddRequest(TransferQueue& queue,
                ConfigurationRequest request,
                TimePoint now);

// Returns the fragments to send now. Requests for a position that has not been
// read wait for it for some time. To be called when a request was added, when
// the feed was read, and in each interval while something is pending.
std::vector<OutgoingFragment> TakeFragments(TransferQueue& queue,
                                            const TransferSource& source,
                                            std::size_t bytes_per_interval,
                                            TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_TRANSFER_QUEUE_H_
