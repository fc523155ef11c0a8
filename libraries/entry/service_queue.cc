#include "entry/service_queue.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr std::size_t kMaxQueueLength = 2'000;

}  // namespace

ServiceQueue::ServiceQueue(EntryContext& context, ServerPool& pool)
    : context(context),
      pool(pool),
      timer(context.loop, [this] { this->DispatchAll(); }) {}

void ServiceQueue::Start() {
  this->timer.StartRepeating(kTickInterval);
}

std::uint64_t ServiceQueue::Wait(PlaceRequest request, Callback callback) {
  ServiceState& state = this->services[request.service];
  if (state.queue.size >= kMaxQueueLength) {
    callback(std::nullopt);
    return 0;
  }
  const std::uint64_t id = ++this->next_id;
  state.waiting[id] = {std::move(callback), std::move(request.avoid)};
  state.queue =
      Enqueue(std::move(state.queue),
              {id, request.workspace, request.share, request.deadline, 0});
  this->Pump(request.service);
  return id;
}

void ServiceQueue::Cancel(const std::string& service, std::uint64_t id) {
  ServiceState& state = this->services[service];
  if (state.waiting.erase(id) > 0) {
    state.queue = Remove(std::move(state.queue), id);
  }
}

void ServiceQueue::DispatchAll() {
  for (auto& [service, state] : this->services) {
    if (state.queue.size > 0) {
      this->Pump(service);
    }
  }
}

void ServiceQueue::Pump(const std::string& service) {
  ServiceState& state = this->services[service];
  if (state.is_dispatching) {
    return;  // Called from a callback in the loop below.
  }
  state.is_dispatching = true;
  while (state.queue.size > 0 && this->DispatchNext(service, state)) {
  }
  state.is_dispatching = false;
}

bool ServiceQueue::DispatchNext(const std::string& service,
                                ServiceState& state) {
  Dequeued next = Dequeue(state.queue, this->pool.UsualLatency(service),
                          this->context.Now());
  std::optional<ServerLease> reservation;
  if (next.request) {
    reservation =
        this->pool.Take(service, state.waiting[next.request->id].avoid);
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
