#ifndef PARSLEYQUAY_TESTS_SOAK_PROMISE_LEDGER_H_
#define PARSLEYQUAY_TESTS_SOAK_PROMISE_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// How a caller's request ended, as the caller sees it.
struct CallerEnd {
  int status = 0;             // 0: no whole answer
  bool is_right_body = true;  // of a 200: the one that the server gave
  // The instance was killed, frozen or gone meanwhile: then no answer is owed.
  bool is_excused = false;
  bool is_late = false;  // long after its deadline
  std::string detail;    // of no whole answer

  bool operator==(const CallerEnd&) const = default;
};

// One request, as callers and backend servers see it.
struct RequestRecord {
  bool is_idempotent = true;
  bool is_metered = false;
  int runs = 0;
  int refused_with = 0;  // a status that promises "not run"
  TimePoint first_run_at;
  TimePoint ended_at;

  bool operator==(const RequestRecord&) const = default;
};

// What the fleet lets through of a metered workspace.
struct MeteredRate {
  double rate = 0;  // requests a second
  double burst = 0;
  double overshoot = 0;
  double slack = 0;
  Duration window = seconds(5);
};

// Keeps what callers and servers see, and notes each promise that is broken.
struct PromiseLedger {
  std::map<std::string, RequestRecord> requests;
  std::vector<std::string> breaches;  // each begins with the request's id
  std::map<int, int> answers;         // by status

  bool operator==(const PromiseLedger&) const = default;
};

void NoteSent(PromiseLedger& ledger,
              const std::string& id,
              bool is_idempotent,
              bool is_metered);

// A server has begun to run the request.
void NoteRun(PromiseLedger& ledger, const std::string& id, TimePoint now);

void NoteEnd(PromiseLedger& ledger,
             const std::string& id,
             const CallerEnd& end,
             TimePoint now);

// Looks for a window in which more metered requests ran than the rate allows.
void CheckRate(PromiseLedger& ledger, const MeteredRate& rate);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_PROMISE_LEDGER_H_
