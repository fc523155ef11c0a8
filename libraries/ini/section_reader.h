#ifndef PARSLEYQUAY_INI_SECTION_READER_H_
#define PARSLEYQUAY_INI_SECTION_READER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ini/ini_document.h"

namespace parsleyquay {

struct NumberRange {
  double low = 0;
  double high = 0;
};

// Takes typed values out of one section and notes every fault on the way:
// values out of range, keys that are missing, keys that nobody asked for.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::vector<IniProblem>& problems);

  std::string Text(const std::string& key);
  std::string TextOr(const std::string& key, const std::string& fallback);
  double Number(const std::string& key, NumberRange range);
  double NumberOr(const std::string& key, NumberRange range, double fallback);
  long Integer(const std::string& key, NumberRange range);
  long IntegerOr(const std::string& key, NumberRange range, long fallback);
  bool Boolean(const std::string& key);
  bool BooleanOr(const std::string& key, bool fallback);

  // Notes a fault of the value that stands at `key`.
  void AddProblem(const std::string& key, const std::string& expected);

  // Notes every key that was never read.
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
