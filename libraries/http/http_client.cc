#include "http/http_client.h"

#include <unistd.h>

#include <algorithm>
#include <cstring>

namespace parsleyquay {

namespace {

constexpr long kIdleConnectionLimit = 512;

struct FetchState {
  std::string body;
  std::size_t sent = 0;
  BufferedResponse response;
};

}  // namespace

HttpClient::HttpClient(EventLoop& loop)
    : loop(loop),
      multi(curl_multi_init()),
      timer(loop, [this] { this->ProcessEvents(CURL_SOCKET_TIMEOUT, 0); }) {
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION,
                    &HttpClient::OnSocket);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &HttpClient::OnTimer);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kIdleConnectionLimit);
}

void HttpClient::LimitConnections(std::size_t count) {
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                    std::min(kIdleConnectionLimit, static_cast<long>(count)));
}

HttpClient::~HttpClient() {
  for (const auto& [raw, call] : this->calls) {
    curl_multi_remove_handle(this->multi, call->easy);
    call->has_ended = true;
  }
  this->calls.clear();
  curl_multi_cleanup(this->multi);
}

std::shared_ptr<HttpCall> HttpClient::Start(CallRequest request,
                                            CallHandlers handlers) {
  const auto call = std::make_shared<HttpCall>(*this, std::move(request),
                                               std::move(handlers));
  this->Add(call);
  return call;
}

void HttpClient::Add(const std::shared_ptr<HttpCall>& call) {
  this->calls.emplace(call.get(), call);
  curl_multi_add_handle(this->multi, call->easy);
}

std::shared_ptr<HttpCall> HttpClient::Fetch(
    CallRequest request,
    std::string body,
    std::function<void(const BufferedResponse&)> on_response) {
  const auto state = std::make_shared<FetchState>();
  state->body = std::move(body);
  request.has_body = !state->body.empty();
  request.body_length = state->body.size();
  CallHandlers handlers;
  handlers.read_body = [state](char* buffer, std::size_t capacity) {
    const std::size_t size =
        std::min(capacity, state->body.size() - state->sent);
    std::memcpy(buffer, state->body.data() + state->sent, size);
    state->sent += size;
    return BodyChunk{size > 0 ? BodyState::kData : BodyState::kEnd, size};
  };
  handlers.on_head = [state](int status, const HeaderList& headers) {
    state->response.status = status;
    state->response.headers = headers;
  };
  handlers.on_data = [state](std::string_view data) {
    state->response.body += data;
    return true;
  };
  handlers.on_done =
      [state, on_response = std::move(on_response)](const CallResult& result) {
        state->response.result = result;
        on_response(state->response);
      };
  return this->Start(std::move(request), std::move(handlers));
}

void HttpClient::ScheduleRun() {
  this->timer.StartOnce(Duration(0));
}

void HttpClient::Remove(HttpCall& call) {
  curl_multi_remove_handle(this->multi, call.easy);
  this->calls.erase(&call);
}

void HttpClient::ProcessEvents(curl_socket_t socket, int events) {
  this->retired_watchers.clear();
  const int bits = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
                   ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
  int running = 0;
  curl_multi_socket_action(this->multi, socket, bits, &running);
  this->CollectFinished();
}

void HttpClient::CollectFinished() {
  int pending = 0;
  while (const CURLMsg* message = curl_multi_info_read(this->multi, &pending)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    HttpCall* raw = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
    const auto found = this->calls.find(raw);
    if (found == this->calls.end()) {
      continue;
    }
    const std::shared_ptr<HttpCall> call = found->second;
    this->Remove(*call);
    if (call->PrepareFreshConnection()) {
      this->Add(call);
    } else {
      call->OnFinished(code);
    }
  }
}

int HttpClient::OnSocketClosed(void* self, curl_socket_t socket) {
  auto* client = static_cast<HttpClient*>(self);
  std::erase_if(client->sockets,
                [socket](const auto& entry) { return entry.second == socket; });
  return close(socket);
}

int HttpClient::OnSocket(CURL*,
                         curl_socket_t socket,
                         int what,
                         void* self,
                         void*) {
  auto* client = static_cast<HttpClient*>(self);
  if (what == CURL_POLL_REMOVE) {
    // NOTE: the action of this watcher may be running, so it is destroyed only
    // before the next event is processed.
    client->retired_watchers.push_back(std::move(client->watchers[socket]));
    client->watchers.erase(socket);
    client->retired_watchers.back()->Stop();
    return 0;
  }
  auto& watcher = client->watchers[socket];
  if (!watcher) {
    watcher =
        std::make_unique<IoWatcher>(client->loop, [client, socket](int events) {
          client->ProcessEvents(socket, events);
        });
  }
  const int events = ((what & CURL_POLL_IN) ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
  watcher->Start(socket, events);
  return 0;
}

int HttpClient::OnTimer(CURLM*, long timeout_ms, void* self) {
  auto* client = static_cast<HttpClient*>(self);
  if (timeout_ms < 0) {
    client->timer.Stop();
    return 0;
  }
  client->timer.StartOnce(milliseconds(timeout_ms));
  return 0;
}

}  // namespace parsleyquay
