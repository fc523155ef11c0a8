#include "entry/request_queue.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr std::size_t kQueueLimit = 2'000;

}  // namespace

RequestQueue::RequestQueue(EntryContext& context, ServerPool& pool)
    : context(context),
      pool(pool),
      timer(context.loop, [this] { this->PumpAll(); }) {}

void RequestQueue::Start() {
  this->timer.StartRepeating(kTickInterval);
}

std::uint64_t RequestQueue::Enqueue(ReservationRequest request,
                                    Callback callback) {
  ServiceState& state = this->services[request.service];
  if (state.queue.size >= kQueueLimit) {
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

void RequestQueue::PumpAll() {
  for (auto& [service, state] : this->services) {
    if (state.queue.size > 0) {
      this->Dispatch(service);
    }
  }
}

void RequestQueue::Dispatch(const std::string& service) {
  ServiceState& state = this->services[service];
  if (state.is_pumping) {
    return;  // A callback of the loop below has freed a place.
  }
  state.is_pumping = true;
  while (state.queue.size > 0 && this->PlaceNext(service, state)) {
  }
  state.is_pumping = false;
}

bool RequestQueue::PlaceNext(const std::string& service, ServiceState& state) {
  DequeueResult next = Dequeue(state.queue, this->pool.MedianLatency(service),
                               this->context.Now());
  std::optional<ServerReservation> reservation;
  if (next.request) {
    reservation =
        this->pool.Acquire(service, state.waiting[next.request->id].avoid);
  }
  if (next.expired.empty() && !reservation) {
    return false;  // The queue stays as it was.
  }
  std::vector<Callback> late;
  for (const std::uint64_t id : next.expired) {
    late.push_back(std::move(state.waiting[id].callback));
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
  for (const Callback& callback : late) {
    callback(std::nullopt);
  }
  return reservation.has_value();
}

}  // namespace parsleyquay
