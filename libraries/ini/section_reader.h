#ifndef PARSLEYQUAY_INI_SECTION_READER_H_
#define PARSLEYQUAY_INI_SECTION_READER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ini/ini_document.h"

namespace parsleyquay {

// A closed interval of permitted values.
struct NumberRange {
  double low = 0;
  double high = 0;
};

// Reads typed values from one section of an INI document and appends a problem
// to `problems` for each value that is malformed or out of range and each
// required key that is missing.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::vector<IniProblem>& problems);

  // Each function reads one key. If the value is malformed or out of range, it
  // adds a problem and returns "", the lower end of the range, or false. Does
  // the same if the key is missing, except that the variants with `Or` return
  // `fallback` then. Boolean() reads "yes" or "no".
  std::string Text(const std::string& key);
  std::string TextOr(const std::string& key, const std::string& fallback);
  double Number(const std::string& key, NumberRange range);
  double NumberOr(const std::string& key, NumberRange range, double fallback);
  long Integer(const std::string& key, NumberRange range);
  long IntegerOr(const std::string& key, NumberRange range, long fallback);
  bool Boolean(const std::string& key);
  bool BooleanOr(const std::string& key, bool fallback);

  // Returns whether the key is present with a value. A key with an empty value
  // counts as read.
  bool IsStated(const std::string& key);

  // Adds a problem with the value of `key`. `expected` says what is permitted.
  void AddProblem(const std::string& key, const std::string& expected);

  // Adds a problem for every key of the section that was not read.
  void RejectUnknownKeys();

 private:
  const IniEntry* Find(const std::string& key);
  std::optional<double> ParseNumber(const std::string& key,
                                    NumberRange range,
                                    bool must_be_whole);

  const IniSection& section;
  std::vector<IniProblem>& problems;
  std::set<std::string> read_keys;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_INI_SECTION_READER_H_
