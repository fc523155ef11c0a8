#ifndef PARSLEYQUAY_FLEET_RECORD_H_
#define PARSLEYQUAY_FLEET_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "declaration/declaration_section.h"
#include "fleet/view.h"

namespace parsleyquay {

// Operators change sections of the declaration.
struct DeclarationChange {
  std::uint64_t base = 0;  // the change was made knowing all offsets below
  std::vector<SectionChange> changes;

  bool operator==(const DeclarationChange&) const = default;
};

// Operators give a key to a workspace. Only the key's digest is recorded.
struct KeyIssuance {
  std::string key_id;
  std::string digest;
  std::string workspace;

  bool operator==(const KeyIssuance&) const = default;
};

struct KeyRevocation {
  std::string key_id;

  bool operator==(const KeyRevocation&) const = default;
};

enum class DomainAvailability { kInService, kWithdrawn };

// Operators take a failure domain out of service or back into it.
struct DomainChange {
  std::uint64_t base = 0;
  std::string failure_domain;
  DomainAvailability availability = DomainAvailability::kInService;

  bool operator==(const DomainChange&) const = default;
};

struct MemberJoin {
  Member member;
  // The incarnation under which the same process was a member before, "" if it
  // was none: that one has ended.
  std::string former_incarnation;

  bool operator==(const MemberJoin&) const = default;
};

// Why a member left the view.
enum class DepartureReason {
  kReleased,          // it stopped by itself and handed over
  kUnresponsive,      // others stopped hearing from it
  kConfirmedStopped,  // an operator states that its process has ended
};

struct MemberDeparture {
  std::string name;
  std::string incarnation;
  DepartureReason reason = DepartureReason::kUnresponsive;

  bool operator==(const MemberDeparture&) const = default;
};

enum class SnapshotKind {
  kRegular,
  kBridge,  // leaves out records that the log dropped before a majority read
};

// One piece of a snapshot of all that was recorded below `state_offset`.
struct SnapshotPart {
  std::string snapshot_id;
  std::uint64_t state_offset = 0;
  std::uint64_t index = 0;
  std::uint64_t count = 0;
  std::string text;
  SnapshotKind kind = SnapshotKind::kRegular;

  bool operator==(const SnapshotPart&) const = default;
};

using RecordBody = std::variant<DeclarationChange,
                                KeyIssuance,
                                KeyRevocation,
                                DomainChange,
                                MemberJoin,
                                MemberDeparture,
                                SnapshotPart>;

// Whether operators, not instances, append records of this kind.
bool IsOperatorRecord(const RecordBody& body);

// One record of the platform's log, before it has an offset.
struct Record {
  std::string id;      // recognises a record that was appended twice
  std::string author;  // operator or instance
  RecordBody body;

  bool operator==(const Record&) const = default;
};

// A record's text at its place in the log.
struct LogEntry {
  std::uint64_t offset = 0;
  long time_ms = 0;  // the platform's time of the append
  std::string text;

  bool operator==(const LogEntry&) const = default;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_RECORD_H_
