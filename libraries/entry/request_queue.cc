#include "entry/request_queue.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr std::size_t kMaxQueueLength = 2'000;

}  // namespace

RequestQueue::RequestQueue(EntryContext& context, ServerPool& pool)
    : context(context),
      pool(pool),
      timer(context.loop, [this] { this->DispatchAll(); }) {}

void RequestQueue::Start() {
  this->timer.StartRepeating(kTickInterval);
}

std::uint64_t RequestQueue::Enqueue(ReservationRequest request,
                                    Callback callback) {
  ServiceState& state = this->services[request.service];
  if (state.queue.size >= kMaxQueueLength) {
    callback(std::nullopt);
    return 0;
  }
  const std::uint64_t id = ++this->next_id;
  state.waiting[id] = {std::move(callback), std::move(request.failed_servers)};
  state.queue = parsleyquay::Enqueue(
      std::move(state.queue),
      {id, request.workspace, request.weight, request.deadline, 0});
  this->Dispatch(request.service);
  return id;
}

void RequestQueue::Cancel(const std::string& service, std::uint64_t id) {
  ServiceState& state = this->services[service];
  if (state.waiting.erase(id) > 0) {
    state.queue = Remove(std::move(state.queue), id);
  }
}

void RequestQueue::DispatchAll() {
  for (auto& [service, state] : this->services) {
    if (state.queue.size > 0) {
      this->Dispatch(service);
    }
  }
}

void RequestQueue::Dispatch(const std::string& service) {
  ServiceState& state = this->services[service];
  if (state.is_dispatching) {
    return;  // Called from a callback in the loop below.
  }
  state.is_dispatching = true;
  while (state.queue.size > 0 && this->DispatchNext(service, state)) {
  }
  state.is_dispatching = false;
}

bool RequestQueue::DispatchNext(const std::string& service,
                                ServiceState& state) {
  DequeueResult next = Dequeue(state.queue, this->pool.MedianLatency(service),
                               this->context.Now());
  std::optional<ServerReservation> reservation;
  if (next.request) {
    reservation = this->pool.Acquire(
        service, state.waiting[next.request->id].failed_servers);
  }
  if (next.expired.empty() && !reservation) {
    return false;  // The queue is unchanged.
  }
  std::vector<Callback> expired_callbacks;
  for (const std::uint64_t id : next.expired) {
    expired_callbacks.push_back(std::move(state.waiting[id].callback));
    state.waiting.erase(id);
  }
  if (reservation) {
    const Callback callback =
        std::move(state.waiting[next.request->id].callback);
    state.waiting.erase(next.request->id);
    state.queue = std::move(next.queue);
    callback(reservation);
  } else {
    for (const std::uint64_t id : next.expired) {
      state.queue = Remove(std::move(state.queue), id);
    }
  }
  for (const Callback& callback : expired_callbacks) {
    callback(std::nullopt);
  }
  return reservation.has_value();
}

}  // namespace parsleyquay
