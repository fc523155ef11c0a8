#ifndef PARSLEYQUAY_INI_INI_DOCUMENT_H_
#define PARSLEYQUAY_INI_INI_DOCUMENT_H_

#include <string>
#include <vector>

namespace parsleyquay {

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;

  // Compares keys and values, not line numbers.
  bool operator==(const IniEntry& other) const {
    return this->key == other.key && this->value == other.value;
  }
};

struct IniSection {
  std::string name;
  int line = 0;  // line number of its first entry
  std::vector<IniEntry> entries;
};

// A problem in an INI file, with the text that caused it.
struct IniProblem {
  int line = 0;  // 0 if the problem belongs to no line
  std::string section;
  std::string key;
  std::string value;
  std::string expected;  // completes the sentence "expected ..."

  bool operator==(const IniProblem&) const = default;
};

struct IniDocument {
  std::vector<IniSection> sections;
  std::vector<IniProblem> problems;
};

// Parses INI text with the inih library. Collects all problems in the result:
// duplicate sections, duplicate keys within a section, lines that are too long
// and, of lines that cannot be parsed, the first. Does not throw.
IniDocument ParseIni(const std::string& text);

// Formats a problem as "file:line: [section] key = value: expected ...".
std::string ToString(const IniProblem& problem, const std::string& file);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_INI_INI_DOCUMENT_H_
