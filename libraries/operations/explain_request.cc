#include "operations/explain_request.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace parsleyquay {

namespace {

// The value of a key of a line, "" when it is absent.
std::string ValueOf(const std::string& line, const std::string& key) {
  const std::string mark = " " + key + "=";
  const std::string padded = " " + line;
  const auto at = padded.find(mark);
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + mark.size();
  return padded.substr(begin, padded.find(' ', begin) - begin);
}

long TimeOf(const std::string& line) {
  const std::string text = ValueOf(line, "time_ms");
  long time = 0;
  std::from_chars(text.data(), text.data() + text.size(), time);
  return time;
}

// The newest line that the same instance wrote on a server before a time.
std::optional<std::string> NewestBefore(const std::vector<std::string>& lines,
                                        const std::string& event,
                                        const std::string& origin,
                                        const std::string& server,
                                        long time) {
  std::optional<std::string> newest;
  for (const std::string& line : lines) {
    const bool fits = ValueOf(line, "event") == event &&
                      ValueOf(line, "origin") == origin &&
                      ValueOf(line, "server") == server && TimeOf(line) <= time;
    if (fits && (!newest || TimeOf(*newest) < TimeOf(line))) {
      newest = line;
    }
  }
  return newest;
}

std::string DescribeAllowance(const std::string& request) {
  const std::string source = ValueOf(request, "allowance");
  const std::string workspace = ValueOf(request, "workspace");
  if (source == "spare") {
    return "No instance that meters workspace " + workspace +
           " was in reach, and this instance's spare share was spent.";
  }
  return "Workspace " + workspace +
         " had no request left of its rate and burst, by " +
         (source == "own_home" ? "this instance's" : "its home's") +
         " metering.";
}

std::string DescribeAttempt(const std::string& attempt) {
  return "Server " + ValueOf(attempt, "server") +
         " ended the last attempt as " + ValueOf(attempt, "outcome") +
         " with status " + ValueOf(attempt, "status") + " after " +
         ValueOf(attempt, "elapsed_ms") +
         " ms; its chance to fail was believed to be " +
         ValueOf(attempt, "failure_percent") + " %.";
}

std::string Summarize(const std::string& request,
                      const std::optional<std::string>& last_attempt) {
  const std::string outcome = ValueOf(request, "outcome");
  const std::string told = "The caller was told " + ValueOf(request, "status") +
                           " (" + outcome + ") after " +
                           ValueOf(request, "elapsed_ms") + " ms by " +
                           ValueOf(request, "origin") + ". ";
  if (outcome == "over_allowance") {
    return told + DescribeAllowance(request);
  }
  if (outcome == "no_route" || outcome == "no_key") {
    return told + "That is what configuration version " +
           ValueOf(request, "version") + " says.";
  }
  if (outcome == "no_server") {
    return told + "No server of service " + ValueOf(request, "service") +
           " could be used in time.";
  }
  return told + (last_attempt ? DescribeAttempt(*last_attempt)
                              : "It was sent to no server.");
}

}  // namespace

RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id) {
  std::vector<std::string> own;
  std::ranges::copy_if(log_lines, std::back_inserter(own),
                       [&](const std::string& line) {
                         return ValueOf(line, "request") == request_id;
                       });
  std::ranges::stable_sort(own, {}, &TimeOf);
  RequestExplanation explanation;
  std::optional<std::string> last_attempt;
  std::set<std::string> shown;
  for (const std::string& line : own) {
    if (ValueOf(line, "event") == "attempt") {
      last_attempt = line;
      for (const char* event : {"server_list", "belief"}) {
        const auto known =
            NewestBefore(log_lines, event, ValueOf(line, "origin"),
                         ValueOf(line, "server"), TimeOf(line));
        if (known && shown.insert(*known).second) {
          explanation.lines.push_back(*known);
        }
      }
    }
    explanation.lines.push_back(line);
    if (ValueOf(line, "event") == "request") {
      explanation.summary += (explanation.summary.empty() ? "" : "\n") +
                             Summarize(line, last_attempt);
    }
  }
  return explanation;
}

}  // namespace parsleyquay
