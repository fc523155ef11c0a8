#include "client_limits/client_limits.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace parsleyquay {

namespace {

// For the program, its state and its connections to servers. Of what is left,
// clients get half, since the allocator cannot reuse all memory at once. With
// less memory, they get a quarter of all.
constexpr std::uint64_t kProgramBytes = 32'000'000;
constexpr std::uint64_t kClientDivisor = 2;
constexpr std::uint64_t kLowMemoryDivisor = 4;

// Descriptors that the users reserve for files, and those for the store, the
// peers and the listening sockets.
constexpr std::size_t kReservedDescriptors = 200 + 64;

// Of the other descriptors, half are for clients, since each request may need
// one to a server. The limit leaves a margin of an eighth up to that.
constexpr std::size_t kDescriptorNumerator = 4;
constexpr std::size_t kDescriptorDivisor = 9;
constexpr std::size_t kMarginDivisor = 8;

// New connections are accepted in the first half of the margin of the memory.
// The rest is for data that arrives in the same moment.
constexpr std::uint64_t kAcceptMarginDivisor = 16;

// A client at this rate needs over a minute to read what may be buffered for
// it.
constexpr double kSlowBytesPerSecond = 4'000;
constexpr Duration kMinSampleInterval = seconds(2);

// Socket buffers are a small part of the memory, within bounds that keep the
// throughput of a link.
constexpr std::uint64_t kSocketBufferDivisor = 1'024;
constexpr std::uint64_t kMinSocketBufferBytes = 32 * 1024;
constexpr std::uint64_t kMaxSocketBufferBytes = 256 * 1024;

// Connections are closed down to this share of a limit, so that the selection
// is not repeated for each further byte.
constexpr std::uint64_t kClosingNumerator = 7;
constexpr std::uint64_t kClosingDivisor = 8;

template <typename T>
bool Exceeds(T value, const std::optional<T>& limit) {
  return limit && value > *limit;
}

template <typename T>
std::optional<T> WithMargin(const std::optional<T>& limit) {
  return limit ? std::optional<T>(*limit + *limit / kMarginDivisor)
               : std::nullopt;
}

template <typename T>
std::optional<T> ClosingTarget(const std::optional<T>& limit) {
  return limit ? std::optional<T>(*limit * kClosingNumerator / kClosingDivisor)
               : std::nullopt;
}

// Returns the memory that a connection has held, times how long.
double ByteSeconds(const ConnectionLoad& load) {
  return static_cast<double>(load.bytes) * ToSeconds(load.age);
}

}  // namespace

ClientLimits DeriveClientLimits(const ProcessLimits& process) {
  ClientLimits limits;
  if (process.memory_bytes) {
    const std::uint64_t memory = *process.memory_bytes;
    limits.bytes =
        std::max(memory / kLowMemoryDivisor,
                 (memory - std::min(memory, kProgramBytes)) / kClientDivisor);
    limits.socket_buffer_bytes = static_cast<std::size_t>(
        std::clamp(*process.memory_bytes / kSocketBufferDivisor,
                   kMinSocketBufferBytes, kMaxSocketBufferBytes));
  }
  if (process.descriptors) {
    const std::size_t available =
        *process.descriptors > kReservedDescriptors
            ? *process.descriptors - kReservedDescriptors
            : 0;
    limits.connections = std::max<std::size_t>(
        1, available * kDescriptorNumerator / kDescriptorDivisor);
  }
  return limits;
}

bool IsOverLimit(const ClientUsage& usage, const ClientLimits& limits) {
  return Exceeds(usage.bytes, limits.bytes) ||
         Exceeds(usage.connections, limits.connections);
}

bool IsShortOfMemory(const ClientUsage& usage,
                     const ClientLimits& limits,
                     std::uint64_t additional_bytes) {
  return Exceeds(usage.bytes + additional_bytes, limits.bytes);
}

bool IsFull(const ClientUsage& usage, const ClientLimits& limits) {
  // Connections never exceed their margin, so that none with a request is
  // closed for it.
  const auto most_connections = WithMargin(limits.connections);
  return (limits.bytes &&
          usage.bytes > *limits.bytes + *limits.bytes / kAcceptMarginDivisor) ||
         (most_connections && usage.connections >= *most_connections);
}

bool IsAboveMargin(const ClientUsage& usage, const ClientLimits& limits) {
  return Exceeds(usage.bytes, WithMargin(limits.bytes)) ||
         Exceeds(usage.connections, WithMargin(limits.connections));
}

bool IsMemoryTight(const ClientUsage& usage, const ClientLimits& limits) {
  return limits.bytes && usage.bytes > *limits.bytes / 2;
}

std::vector<std::size_t> SelectConnectionsToClose(
    std::vector<ConnectionLoad> loads,
    const ClientLimits& limits,
    bool is_memory_needed) {
  ClientUsage usage{.bytes = std::accumulate(
                        loads.begin(), loads.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const ConnectionLoad& load) {
                          return sum + load.bytes;
                        }),
                    .connections = loads.size()};
  if (!IsOverLimit(usage, limits) && !is_memory_needed) {
    return {};
  }
  std::ranges::sort(loads,
                    [](const ConnectionLoad& a, const ConnectionLoad& b) {
                      return std::tuple(a.stake, a.phase, -ByteSeconds(a)) <
                             std::tuple(b.stake, b.phase, -ByteSeconds(b));
                    });
  const ClientLimits target{.bytes = ClosingTarget(limits.bytes),
                            .connections = ClosingTarget(limits.connections)};
  const bool is_above_margin = IsAboveMargin(usage, limits);
  std::vector<std::size_t> chosen;
  for (const ConnectionLoad& load : loads) {
    const bool is_request_lost = load.stake == ConnectionStake::kRequest;
    const bool is_enough = is_request_lost
                               ? !is_above_margin || !IsOverLimit(usage, limits)
                               : !IsOverLimit(usage, target);
    if (is_enough) {
      break;
    }
    usage.bytes -= load.bytes;
    --usage.connections;
    chosen.push_back(load.index);
  }
  return chosen;
}

std::optional<bool> IsClientSlow(const TransferSample& before,
                                 const TransferSample& now) {
  const Duration elapsed = now.at - before.at;
  if (elapsed < kMinSampleInterval) {
    return std::nullopt;
  }
  return static_cast<double>(now.bytes - before.bytes) <
         kSlowBytesPerSecond * ToSeconds(elapsed);
}

bool HasTimedOut(const ConnectionProgress& progress,
                 const ClientTimeouts& timeouts,
                 TimePoint now) {
  if (progress.phase == ConnectionPhase::kWaitsForServer) {
    return false;
  }
  return now - progress.progressed_at > timeouts.idle ||
         (progress.header_seen_at &&
          now - *progress.header_seen_at > timeouts.header);
}

LingeringProgress UpdateLingeringProgress(
    const LingeringProgress& progress,
    std::optional<std::size_t> unacknowledged_before,
    std::optional<std::size_t> unacknowledged,
    TimePoint now) {
  LingeringProgress updated = progress;
  if (unacknowledged == 0U && !progress.delivered_at) {
    updated.delivered_at = now;
  }
  if (unacknowledged_before && unacknowledged &&
      *unacknowledged < *unacknowledged_before) {
    updated.progressed_at = now;
  }
  return updated;
}

bool HasLingeredTooLong(const LingeringProgress& progress,
                        const LingeringTimeouts& timeouts,
                        TimePoint now) {
  if (!progress.delivered_at) {
    return now - progress.progressed_at > timeouts.idle;
  }
  return now - std::max(*progress.delivered_at, progress.received_at) >
             timeouts.silence ||
         now - *progress.delivered_at > timeouts.discarding;
}

}  // namespace parsleyquay
