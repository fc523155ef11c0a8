#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>

#include "detection/evidence.h"
#include "detection/verdict_fingerprint.h"

namespace parsleyquay {

// An instance tells the home of a service what its traffic showed.
struct EvidenceReport {
  std::string sender;
  std::string reply_address;
  std::string service;
  ServiceEvidence evidence;
  std::optional<VerdictFingerprint>
      held_verdict;  // absent when no verdict was heard

  bool operator==(const EvidenceReport&) const = default;
};

// The home tells how to treat the servers: in answer to a report whose sender
// holds another verdict, and to all whom a change concerns.
struct VerdictNotice {
  std::string service;
  std::uint64_t view_version = 0;
  std::uint64_t sequence = 0;  // rises with every change at one home
  ServiceVerdict verdict;

  bool operator==(const VerdictNotice&) const = default;
};

Json::Value ToJson(const EvidenceReport& report);
EvidenceReport EvidenceReportFromJson(const Json::Value& json);
Json::Value ToJson(const VerdictNotice& notice);
VerdictNotice VerdictNoticeFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_
