#include "ini/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <sstream>

namespace parsleyquay {

namespace {

struct ParseState {
  std::istringstream input;
  int line = 0;
  std::set<std::string> seen_sections;
  IniDocument document;
};

// Reads the next line for inih.
// NOTE: inih does not pass line numbers to its handler, so they are counted
// here.
char* ReadLine(char* buffer, int capacity, void* stream) {
  auto* state = static_cast<ParseState*>(stream);
  std::string line;
  if (!std::getline(state->input, line)) {
    return nullptr;
  }
  ++state->line;
  if (line.size() + 2 > static_cast<std::size_t>(capacity)) {
    state->document.problems.push_back(
        {state->line, "", "", "",
         "a line of at most " + std::to_string(capacity - 2) + " bytes"});
    line.clear();
  }
  line += '\n';
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

IniSection& SectionFor(ParseState& state, const std::string& name) {
  auto& sections = state.document.sections;
  if (!sections.empty() && sections.back().name == name) {
    return sections.back();
  }
  if (!state.seen_sections.insert(name).second) {
    state.document.problems.push_back(
        {state.line, name, "", "", "a section name that occurs only once"});
  }
  sections.push_back({name, state.line, {}});
  return sections.back();
}

int AddEntry(void* user,
             const char* section,
             const char* key,
             const char* value) {
  auto* state = static_cast<ParseState*>(user);
  IniSection& target = SectionFor(*state, section);
  if (std::ranges::find(target.entries, std::string(key), &IniEntry::key) !=
      target.entries.end()) {
    state->document.problems.push_back(
        {state->line, section, key, value,
         "a key that occurs only once in its section"});
    return 1;
  }
  target.entries.push_back({key, value, state->line});
  return 1;
}

}  // namespace

IniDocument ParseIni(const std::string& text) {
  ParseState state;
  state.input.str(text);
  // NOTE: the same object is passed as the line reader's stream and as the
  // handler's user data.
  const int bad_line = ini_parse_stream(ReadLine, &state, AddEntry, &state);
  if (bad_line > 0) {
    state.document.problems.push_back(
        {bad_line, "", "", "", "[section], key = value, or a ; comment"});
  }
  return std::move(state.document);
}

std::string ToString(const IniProblem& problem, const std::string& file) {
  std::ostringstream text;
  text << file << ':' << problem.line << ": ";
  if (!problem.section.empty()) {
    text << '[' << problem.section << "] ";
  }
  if (!problem.key.empty()) {
    text << problem.key << " = " << problem.value << ": ";
  }
  text << "expected " << problem.expected;
  return text.str();
}

}  // namespace parsleyquay
