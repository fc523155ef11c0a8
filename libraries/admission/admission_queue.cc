#include "admission/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace parsleyquay {

namespace {

struct OrderedRequest {
  double start_tag = 0;
  std::uint64_t id = 0;

  auto operator<=>(const OrderedRequest&) const = default;
};

std::vector<OrderedRequest> InServingOrder(const FairQueue& queue) {
  std::vector<OrderedRequest> ordered;
  ordered.reserve(queue.size);
  for (const auto& [workspace, waiting] : queue.waiting) {
    std::ranges::transform(
        waiting, std::back_inserter(ordered),
        [](const WaitingRequest& request) {
          return OrderedRequest{request.start_tag, request.id};
        });
  }
  std::ranges::sort(ordered);
  return ordered;
}

// Returns how many requests of the queue have an earlier start tag than the
// next request of the workspace would get.
std::size_t CountEarlier(const FairQueue& queue, const std::string& workspace) {
  const auto found = queue.finish_tags.find(workspace);
  const double start_tag = std::max(
      queue.virtual_time, found == queue.finish_tags.end() ? 0 : found->second);
  return std::accumulate(
      queue.waiting.begin(), queue.waiting.end(), std::size_t{0},
      [&](std::size_t count, const auto& entry) {
        return count + std::ranges::count_if(
                           entry.second, [&](const WaitingRequest& request) {
                             return request.start_tag <= start_tag;
                           });
      });
}

// Forgets a request that has left its class's queue.
std::optional<AdmissionRequest> Forget(AdmissionQueue& queue,
                                       std::uint64_t id) {
  auto node = queue.requests.extract(id);
  if (node.empty()) {
    return std::nullopt;
  }
  queue.bytes -= node.mapped().bytes;
  std::erase_if(queue.classes,
                [](const auto& entry) { return entry.second.size == 0; });
  return std::move(node.mapped());
}

}  // namespace

AdmissionClass ClassOf(const AdmissionRequest& request) {
  return {request.priority, !request.is_retry};
}

void AddRequest(AdmissionQueue& queue, const AdmissionRequest& request) {
  FairQueue& fair_queue = queue.classes[ClassOf(request)];
  fair_queue = Enqueue(std::move(fair_queue), {.id = request.id,
                                               .workspace = request.workspace,
                                               .weight = request.weight,
                                               .deadline = request.deadline});
  queue.requests[request.id] = request;
  queue.bytes += request.bytes;
}

std::optional<AdmissionRequest> RemoveRequest(AdmissionQueue& queue,
                                              std::uint64_t id) {
  const auto found = queue.requests.find(id);
  if (found == queue.requests.end()) {
    return std::nullopt;
  }
  FairQueue& fair_queue = queue.classes[ClassOf(found->second)];
  fair_queue = Remove(std::move(fair_queue), id);
  return Forget(queue, id);
}

std::optional<AdmissionRequest> TakeNext(AdmissionQueue& queue,
                                         const AdmissionClass& wanted) {
  const auto found = queue.classes.find(wanted);
  if (found == queue.classes.end()) {
    return std::nullopt;
  }
  // Requests that can no longer be served are removed by their own rule, not by
  // the deadline.
  DequeueResult next =
      Dequeue(std::move(found->second), Duration::min() / 2, TimePoint());
  found->second = std::move(next.queue);
  return next.request ? Forget(queue, next.request->id) : std::nullopt;
}

std::vector<std::uint64_t> ServingOrder(const AdmissionQueue& queue) {
  std::vector<std::uint64_t> ids;
  ids.reserve(queue.requests.size());
  for (const auto& [admission_class, fair_queue] : queue.classes) {
    std::ranges::transform(InServingOrder(fair_queue), std::back_inserter(ids),
                           &OrderedRequest::id);
  }
  return ids;
}

std::size_t CountAhead(const AdmissionQueue& queue,
                       const AdmissionRequest& request) {
  const AdmissionClass own_class = ClassOf(request);
  return std::accumulate(
      queue.classes.begin(), queue.classes.end(), std::size_t{0},
      [&](std::size_t count, const auto& entry) {
        const auto& [other_class, fair_queue] = entry;
        if (other_class.is_first_attempt != own_class.is_first_attempt ||
            other_class > own_class) {
          return count;
        }
        return count + (other_class == own_class
                            ? CountEarlier(fair_queue, request.workspace)
                            : fair_queue.size);
      });
}

std::optional<std::uint64_t> FindEvictable(const AdmissionQueue& queue,
                                           int priority) {
  if (queue.classes.empty() ||
      queue.classes.rbegin()->first.priority <= priority) {
    return std::nullopt;
  }
  return InServingOrder(queue.classes.rbegin()->second).back().id;
}

}  // namespace parsleyquay
