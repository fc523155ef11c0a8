#include "dissemination/configuration_transfer.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

#include "base/random_id.h"

namespace parsleyquay {

namespace {

constexpr std::uint64_t kMaxFragments =
    (kMaxTransferBytes + kFragmentBytes - 1) / kFragmentBytes;
constexpr int kBase64Variant = sodium_base64_VARIANT_ORIGINAL;

std::string EncodeBase64(const std::string& bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), kBase64Variant),
                   '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kBase64Variant);
  text.pop_back();  // the terminating null
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes.size(), text.data(), text.size(), nullptr,
                        &length, nullptr, kBase64Variant) != 0) {
    return std::nullopt;
  }
  bytes.resize(length);
  return bytes;
}

Json::Value EncodePosition(const FeedPosition& position) {
  Json::Value row(Json::arrayValue);
  row.append(Json::UInt64(position.era));
  row.append(Json::UInt64(position.offset));
  return row;
}

FeedPosition DecodePosition(const Json::Value& row) {
  return {.era = row[0].asUInt64(), .offset = row[1].asUInt64()};
}

bool IsPosition(const Json::Value& row) {
  return row.isArray() && row.size() == 2 && row[0].isUInt64() &&
         row[1].isUInt64();
}

bool MayReplace(const TransferAssembly& assembly,
                const ConfigurationFragment& fragment,
                TimePoint now) {
  return assembly.parts.empty() ||
         fragment.id.position > assembly.id.position ||
         (fragment.id.position == assembly.id.position &&
          now - assembly.progressed_at >= kTransferSilence);
}

}  // namespace

ConfigurationTransfer MakeTransfer(FeedPosition position, std::string text) {
  TransferId id{
      .position = position, .length = text.size(), .hash = SecretDigest(text)};
  return {std::move(id), std::move(text)};
}

std::uint64_t CountFragments(const ConfigurationTransfer& transfer) {
  return std::max<std::uint64_t>(
      1, (transfer.text.size() + kFragmentBytes - 1) / kFragmentBytes);
}

ConfigurationFragment MakeFragment(const ConfigurationTransfer& transfer,
                                   const std::string& sender,
                                   std::uint64_t index) {
  return {
      .sender = sender,
      .id = transfer.id,
      .index = index,
      .count = CountFragments(transfer),
      .bytes = transfer.text.substr(index * kFragmentBytes, kFragmentBytes)};
}

bool IsAcceptablePosition(const FeedPosition& told,
                          const std::optional<FeedPosition>& own,
                          std::uint64_t known_era) {
  return told.era == known_era &&
         (!own || (told.era == own->era && told > *own));
}

FragmentResult AddFragment(TransferAssembly& assembly,
                           ConfigurationFragment fragment,
                           TimePoint now) {
  const bool is_of_current = !assembly.parts.empty() &&
                             assembly.id == fragment.id &&
                             assembly.count == fragment.count;
  if (!is_of_current) {
    if (!MayReplace(assembly, fragment, now)) {
      return FragmentResult::kIgnored;
    }
    assembly = {.id = fragment.id, .count = fragment.count};
  }
  if (assembly.parts.contains(fragment.index)) {
    return FragmentResult::kIgnored;
  }
  assembly.sender = fragment.sender;
  assembly.progressed_at = now;
  assembly.received_bytes += fragment.bytes.size();
  assembly.parts[fragment.index] = std::move(fragment.bytes);
  if (assembly.received_bytes > assembly.id.length) {
    assembly = {};
    return FragmentResult::kCorrupt;
  }
  if (assembly.parts.size() < assembly.count) {
    return FragmentResult::kAdded;
  }
  std::string text;
  for (const auto& [index, bytes] : assembly.parts) {
    text += bytes;
  }
  if (text.size() != assembly.id.length ||
      SecretDigest(text) != assembly.id.hash) {
    assembly = {};
    return FragmentResult::kCorrupt;
  }
  assembly.parts = {{0, std::move(text)}};
  assembly.count = 1;
  return FragmentResult::kComplete;
}

std::string TakeText(TransferAssembly& assembly) {
  const TransferAssembly taken = std::exchange(assembly, {});
  return taken.parts.empty() ? "" : taken.parts.begin()->second;
}

Json::Value EncodeConfigurationRequest(const ConfigurationRequest& request) {
  Json::Value parameters;
  parameters["f"] = request.sender;
  if (request.position) {
    parameters["p"] = EncodePosition(*request.position);
  }
  parameters["v"] = Json::UInt64(request.configuration_version);
  parameters["w"] = EncodePosition(request.wanted);
  return parameters;
}

std::optional<ConfigurationRequest> DecodeConfigurationRequest(
    const Json::Value& parameters) {
  const bool has_position = parameters.isMember("p");
  if (!parameters["f"].isString() || !parameters["v"].isUInt64() ||
      !IsPosition(parameters["w"]) ||
      (has_position && !IsPosition(parameters["p"]))) {
    return std::nullopt;
  }
  ConfigurationRequest request{
      .sender = parameters["f"].asString(),
      .configuration_version = parameters["v"].asUInt64(),
      .wanted = DecodePosition(parameters["w"])};
  if (has_position) {
    request.position = DecodePosition(parameters["p"]);
  }
  return request;
}

Json::Value EncodeFragment(const ConfigurationFragment& fragment) {
  Json::Value parameters;
  parameters["f"] = fragment.sender;
  parameters["p"] = EncodePosition(fragment.id.position);
  parameters["l"] = Json::UInt64(fragment.id.length);
  parameters["h"] = fragment.id.hash;
  parameters["i"] = Json::UInt64(fragment.index);
  parameters["n"] = Json::UInt64(fragment.count);
  parameters["b"] = EncodeBase64(fragment.bytes);
  return parameters;
}

std::optional<ConfigurationFragment> DecodeFragment(
    const Json::Value& parameters) {
  if (!parameters["f"].isString() || !IsPosition(parameters["p"]) ||
      !parameters["l"].isUInt64() || !parameters["h"].isString() ||
      !parameters["i"].isUInt64() || !parameters["n"].isUInt64() ||
      !parameters["b"].isString()) {
    return std::nullopt;
  }
  ConfigurationFragment fragment{
      .sender = parameters["f"].asString(),
      .id = {.position = DecodePosition(parameters["p"]),
             .length = parameters["l"].asUInt64(),
             .hash = parameters["h"].asString()},
      .index = parameters["i"].asUInt64(),
      .count = parameters["n"].asUInt64()};
  std::optional<std::string> bytes = DecodeBase64(parameters["b"].asString());
  if (!bytes || bytes->size() > kFragmentBytes ||
      fragment.id.length > kMaxTransferBytes ||
      fragment.count > kMaxFragments || fragment.index >= fragment.count) {
    return std::nullopt;
  }
  fragment.bytes = std::move(*bytes);
  return fragment;
}

}  // namespace parsleyquay
