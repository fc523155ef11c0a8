#ifndef PARSLEYQUAY_FLEET_RECORD_H_
#define PARSLEYQUAY_FLEET_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "declaration/declaration_section.h"
#include "fleet/view.h"

namespace parsleyquay {

// An operator changes sections of the declaration.
struct DeclarationChange {
  std::uint64_t base = 0;  // the author had read all records below this offset
  std::vector<SectionChange> changes;

  bool operator==(const DeclarationChange&) const = default;
};

// An operator issues an API key to a workspace. Only the key's digest is
// recorded.
struct KeyIssuance {
  std::string key_id;
  std::string digest;
  std::string workspace;

  bool operator==(const KeyIssuance&) const = default;
};

// An operator revokes an API key.
struct KeyRevocation {
  std::string key_id;

  bool operator==(const KeyRevocation&) const = default;
};

enum class DomainAvailability { kInService, kWithdrawn };

// An operator takes a failure domain out of service or puts it back.
struct DomainChange {
  std::uint64_t base = 0;  // as in DeclarationChange
  std::string failure_domain;
  DomainAvailability availability = DomainAvailability::kInService;

  bool operator==(const DomainChange&) const = default;
};

// An instance joins the fleet, or joins it again with a new incarnation.
struct MemberJoin {
  Member member;
  // The previous incarnation of the same process, which it has ended; "" if
  // there is none.
  std::string former_incarnation;

  bool operator==(const MemberJoin&) const = default;
};

// Why a member left the view.
enum class DepartureReason {
  kReleased,          // it shut down and handed over what it owned
  kUnresponsive,      // another member removed it, as it did not reply
  kConfirmedStopped,  // an operator confirmed that its process has ended
};

// A member leaves the view or is removed from it. Applies only to the given
// incarnation.
struct MemberDeparture {
  std::string name;
  std::string incarnation;
  DepartureReason reason = DepartureReason::kUnresponsive;

  bool operator==(const MemberDeparture&) const = default;
};

enum class SnapshotKind {
  kRegular,
  // Omits records that the log dropped before a majority had read them, so that
  // the fleet can continue after this gap.
  kBridge,
};

// One part of a snapshot of the fleet's state below `state_offset`.
struct SnapshotPart {
  std::string snapshot_id;
  std::uint64_t state_offset = 0;
  std::uint64_t index = 0;  // of this part
  std::uint64_t count = 0;  // number of parts
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

// Whether records of this kind are appended by operators, not by instances.
bool IsOperatorRecord(const RecordBody& body);

// One record of the platform's log, without its offset.
struct Record {
  std::string id;      // identifies repeated appends of the same record
  std::string author;  // name of an operator or instance
  RecordBody body;

  bool operator==(const Record&) const = default;
};

// A record as stored in the log.
struct LogEntry {
  std::uint64_t offset = 0;
  long time_ms = 0;  // platform time of the append
  std::string text;  // as written by EncodeRecord

  bool operator==(const LogEntry&) const = default;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_RECORD_H_
