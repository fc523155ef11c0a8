#include "dissemination/transfer_queue.h"

#include <algorithm>
#include <utility>

namespace parsleyquay {

namespace {

// The member has asked others and the store by then, so a later answer would
// only take a part of the link.
constexpr Duration kMaxWait = milliseconds(200);

constexpr std::size_t kMaxPending = 1'000;

constexpr double kShareOfLink = 0.5;
constexpr double kBytesPerMegabit = 125'000;

// Of a datagram, in addition to the bytes of the fragment as base64: the other
// fields and the headers of its IP packets.
constexpr std::size_t kDatagramOverhead = 600;

std::size_t DatagramBytes(const ConfigurationFragment& fragment) {
  return fragment.bytes.size() * 4 / 3 + kDatagramOverhead;
}

// Whether another fragment may be sent in this interval.
bool IsAllowed(const TransferQueue& queue,
               const ConfigurationFragment& fragment,
               std::size_t bytes_per_interval) {
  return queue.sent_in_interval == 0 ||
         (queue.sent_in_interval < kFragmentsPerInterval &&
          queue.sent_bytes_in_interval + DatagramBytes(fragment) <=
              bytes_per_interval);
}

bool IsAnswerPossible(const PendingTransfer& pending,
                      const TransferSource& source) {
  const ConfigurationRequest& request = pending.request;
  return source.position >= request.wanted &&
         source.position > request.position.value_or(FeedPosition());
}

}  // namespace

std::size_t BytesPerInterval(double link) {
  return static_cast<std::size_t>(link * kBytesPerMegabit *
                                  ToSeconds(kTransferInterval) * kShareOfLink);
}

void AddRequest(TransferQueue& queue,
                ConfigurationRequest request,
                TimePoint now) {
  const auto found = std::ranges::find(
      queue.pending, request.sender,
      [](const PendingTransfer& pending) { return pending.request.sender; });
  if (found == queue.pending.end()) {
    if (queue.pending.size() < kMaxPending) {
      queue.pending.push_back({std::move(request), now, nullptr, 0});
    }
    return;
  }
  const bool is_in_progress =
      found->transfer && found->transfer->id.position >= request.wanted;
  if (!is_in_progress) {
    *found = {std::move(request), now, nullptr, 0};
  }
}

std::vector<OutgoingFragment> TakeFragments(TransferQueue& queue,
                                            const TransferSource& source,
                                            std::size_t bytes_per_interval,
                                            TimePoint now) {
  if (now - queue.interval_began >= kTransferInterval) {
    queue.interval_began = now;
    queue.sent_in_interval = 0;
    queue.sent_bytes_in_interval = 0;
  }
  std::vector<OutgoingFragment> fragments;
  bool is_allowed = true;
  for (PendingTransfer& pending : queue.pending) {
    if (!is_allowed) {
      break;
    }
    if (!pending.transfer && IsAnswerPossible(pending, source)) {
      pending.transfer =
          source.make_transfer(pending.request.configuration_version);
    }
    if (!pending.transfer) {
      continue;
    }
    while (pending.next_index < CountFragments(*pending.transfer)) {
      ConfigurationFragment fragment =
          MakeFragment(*pending.transfer, source.name, pending.next_index);
      is_allowed = IsAllowed(queue, fragment, bytes_per_interval);
      if (!is_allowed) {
        break;
      }
      ++pending.next_index;
      ++queue.sent_in_interval;
      queue.sent_bytes_in_interval += DatagramBytes(fragment);
      fragments.push_back({pending.request.sender, std::move(fragment)});
    }
  }
  std::erase_if(queue.pending, [&](const PendingTransfer& pending) {
    return pending.transfer
               ? pending.next_index >= CountFragments(*pending.transfer)
               : now - pending.requested_at >= kMaxWait;
  });
  return fragments;
}

}  // namespace parsleyquay
