#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>

#include "detection/evidence.h"
#include "detection/verdict_fingerprint.h"

namespace parsleyquay {

// Sent by an instance to the owner of a service, which judges the service's
// servers by the reports of all instances.
struct EvidenceReport {
  std::string sender;
  std::string reply_address;
  std::string service;
  ServiceEvidence evidence;
  std::optional<VerdictFingerprint>
      held_verdict;  // absent if the sender has no verdict

  bool operator==(const EvidenceReport&) const = default;
};

// Sent by the owner of a service: in reply to a report whose sender holds an
// outdated verdict, and to the affected instances when the verdict changes.
struct VerdictNotice {
  std::string service;
  std::uint64_t view_version = 0;
  std::uint64_t sequence = 0;  // incremented by the owner with every change
  ServiceVerdict verdict;

  bool operator==(const VerdictNotice&) const = default;
};

Json::Value ToJson(const EvidenceReport& report);
EvidenceReport EvidenceReportFromJson(const Json::Value& json);
Json::Value ToJson(const VerdictNotice& notice);
VerdictNotice VerdictNoticeFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_MESSAGE_H_
