#ifndef PARSLEYQUAY_DISSEMINATION_OPERATOR_CHANGE_CODEC_H_
#define PARSLEYQUAY_DISSEMINATION_OPERATOR_CHANGE_CODEC_H_

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"

namespace parsleyquay {

// These encode changes of the operators' feed as text, and decode it, without
// loss: durations in whole microseconds, strings byte by byte. Decoding returns
// std::nullopt if the text is malformed or has a change of an unknown kind.
std::string EncodeOperatorChanges(const std::vector<OperatorChange>& changes);
std::optional<std::vector<OperatorChange>> DecodeOperatorChanges(
    const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_OPERATOR_CHANGE_CODEC_H_
