#include "admission/fair_queue.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// Drops what waits at the head of each workspace and would come too late.
void DropExpired(FairQueue& queue,
                 TimePoint latest_start,
                 std::vector<std::uint64_t>& expired) {
  for (auto& [workspace, requests] : queue.waiting) {
    while (!requests.empty() && requests.front().deadline <= latest_start) {
      expired.push_back(requests.front().id);
      requests.pop_front();
      --queue.size;
    }
  }
  std::erase_if(queue.waiting,
                [](const auto& entry) { return entry.second.empty(); });
}

// An idle queue owes nobody anything.
void ResetWhenIdle(FairQueue& queue) {
  if (queue.size == 0) {
    queue = FairQueue{};
  }
}

}  // namespace

FairQueue Enqueue(FairQueue queue, WaitingRequest request) {
  // Section 2.1, step 1: the start tag is the larger of the virtual time and
  // the finish tag of the workspace's previous request.
  double& finish_tag = queue.finish_tags[request.workspace];
  request.start_tag = std::max(queue.virtual_time, finish_tag);
  finish_tag = request.start_tag + 1 / request.weight;
  queue.waiting[request.workspace].push_back(std::move(request));
  ++queue.size;
  return queue;
}

FairQueue Remove(FairQueue queue, std::uint64_t id) {
  for (auto& [workspace, requests] : queue.waiting) {
    queue.size -= std::erase_if(
        requests, [&](const WaitingRequest& r) { return r.id == id; });
  }
  std::erase_if(queue.waiting,
                [](const auto& entry) { return entry.second.empty(); });
  ResetWhenIdle(queue);
  return queue;
}

DequeueResult Dequeue(FairQueue queue,
                      Duration expected_service_time,
                      TimePoint now) {
  DequeueResult result;
  DropExpired(queue, now + expected_service_time, result.expired);
  // Section 2.1, step 3: requests are served in the order of start tags.
  const auto next = std::ranges::min_element(
      queue.waiting, {},
      [](const auto& entry) { return entry.second.front().start_tag; });
  if (next != queue.waiting.end()) {
    result.request = std::move(next->second.front());
    next->second.pop_front();
    --queue.size;
    // Step 2: the virtual time is the start tag of the request in service.
    queue.virtual_time = result.request->start_tag;
    if (next->second.empty()) {
      queue.waiting.erase(next);
    }
  }
  ResetWhenIdle(queue);
  result.queue = std::move(queue);
  return result;
}

}  // namespace parsleyquay
