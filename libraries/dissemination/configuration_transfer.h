#ifndef PARSLEYQUAY_DISSEMINATION_CONFIGURATION_TRANSFER_H_
#define PARSLEYQUAY_DISSEMINATION_CONFIGURATION_TRANSFER_H_

#include <json/json.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/feed_position.h"

namespace parsleyquay {

// A request to another instance for the whole state of the operators' feed.
struct ConfigurationRequest {
  std::string sender;  // name of the member that requests it
  // What the sender has read; unset if it has read nothing yet.
  std::optional<FeedPosition> position;
  // The configuration itself is left out of the response if the receiver has
  // the same version. 0: none.
  std::uint64_t configuration_version = 0;
  FeedPosition wanted;  // the newest position that the sender has heard of

  bool operator==(const ConfigurationRequest&) const = default;
};

// Identifies the content of a transfer, whichever member sends it.
struct TransferId {
  FeedPosition position;     // of the state
  std::uint64_t length = 0;  // of the text, in bytes
  std::string hash;          // of the text

  bool operator==(const TransferId&) const = default;
};

// The state of the operators' feed at a position as text, see
// EncodeOperatorChanges().
struct ConfigurationTransfer {
  TransferId id;
  std::string text;

  bool operator==(const ConfigurationTransfer&) const = default;
};

// One numbered part of a transfer.
struct ConfigurationFragment {
  std::string sender;
  TransferId id;
  std::uint64_t index = 0;
  std::uint64_t count = 0;
  std::string bytes;

  bool operator==(const ConfigurationFragment&) const = default;
};

// The transfer that an instance receives. There is at most one at a time.
struct TransferAssembly {
  TransferId id;
  std::string sender;  // of the newest fragment
  std::uint64_t count = 0;
  std::map<std::uint64_t, std::string> parts;  // by index
  std::size_t received_bytes = 0;
  TimePoint progressed_at;  // when the newest fragment was added

  bool operator==(const TransferAssembly&) const = default;
};

enum class FragmentResult {
  kIgnored,  // known, or of a transfer other than the one in progress
  kAdded,
  kComplete,
  kCorrupt,  // complete, but length or hash differ; the transfer is dropped
};

// The datagram of a fragment has about 16 KB, since the bytes are encoded as
// base64. The loss of one IP packet thus costs no more than that.
constexpr std::size_t kFragmentBytes = 12'000;

// Longer texts are neither sent nor received. Limits the memory that an
// incomplete transfer takes.
constexpr std::size_t kMaxTransferBytes = 4'000'000;

// The RPC methods of notifications that carry a request and a fragment.
constexpr char kConfigurationRequestMethod[] = "configuration_wanted";
constexpr char kConfigurationFragmentMethod[] = "configuration_part";

ConfigurationTransfer MakeTransfer(FeedPosition position, std::string text);
std::uint64_t CountFragments(const ConfigurationTransfer& transfer);
ConfigurationFragment MakeFragment(const ConfigurationTransfer& transfer,
                                   const std::string& sender,
                                   std::uint64_t index);

// Whether an instance that has read up to `own` may take over a state at
// `told`. It has to read the first state of an era from the store itself.
bool IsAcceptablePosition(const FeedPosition& told,
                          const std::optional<FeedPosition>& own,
                          std::uint64_t known_era);

// Adds a fragment. A transfer of a later position replaces the one in progress,
// and so does another one of the same position once that has made no progress
// for kTransferSilence.
FragmentResult AddFragment(TransferAssembly& assembly,
                           ConfigurationFragment fragment,
                           TimePoint now);

// Returns the text of a complete transfer, and drops the transfer.
std::string TakeText(TransferAssembly& assembly);

constexpr Duration kTransferSilence = milliseconds(75);

// These encode messages as the parameters of notifications, and decode them.
// Decoding returns std::nullopt if the parameters are malformed, or state more
// than the limits above.
Json::Value EncodeConfigurationRequest(const ConfigurationRequest& request);
std::optional<ConfigurationRequest> DecodeConfigurationRequest(
    const Json::Value& parameters);
Json::Value EncodeFragment(const ConfigurationFragment& fragment);
std::optional<ConfigurationFragment> DecodeFragment(
    const Json::Value& parameters);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_CONFIGURATION_TRANSFER_H_
