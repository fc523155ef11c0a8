#include "ini/section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace parsleyquay {

namespace {

std::string Describe(NumberRange range, bool must_be_whole) {
  std::ostringstream text;
  text << (must_be_whole ? "a whole number" : "a number") << " from "
       << range.low << " to " << range.high;
  return text.str();
}

}  // namespace

SectionReader::SectionReader(const IniSection& section,
                             std::vector<IniProblem>& problems)
    : section(section), problems(problems) {}

const IniEntry* SectionReader::Find(const std::string& key) {
  this->read_keys.insert(key);
  const auto found =
      std::ranges::find(this->section.entries, key, &IniEntry::key);
  return found == this->section.entries.end() ? nullptr : &*found;
}

bool SectionReader::IsStated(const std::string& key) {
  const IniEntry* entry = this->Find(key);
  return entry && !entry->value.empty();
}

void SectionReader::AddProblem(const std::string& key,
                               const std::string& expected) {
  const IniEntry* entry = this->Find(key);
  this->problems.push_back({entry ? entry->line : this->section.line,
                            this->section.name, key,
                            entry ? entry->value : "(missing)", expected});
}

std::string SectionReader::Text(const std::string& key) {
  const IniEntry* entry = this->Find(key);
  if (!entry || entry->value.empty()) {
    this->AddProblem(key, "a value");
    return "";
  }
  return entry->value;
}

std::string SectionReader::TextOr(const std::string& key,
                                  const std::string& fallback) {
  return this->Find(key) ? this->Text(key) : fallback;
}

std::optional<double> SectionReader::ParseNumber(const std::string& key,
                                                 NumberRange range,
                                                 bool must_be_whole) {
  const IniEntry* entry = this->Find(key);
  if (!entry) {
    this->AddProblem(key, Describe(range, must_be_whole));
    return std::nullopt;
  }
  double number = 0;
  const char* const end = entry->value.data() + entry->value.size();
  const auto parsed = std::from_chars(entry->value.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  const bool is_in_range =
      is_number && number >= range.low && number <= range.high;
  if (!is_in_range || (must_be_whole && std::floor(number) != number)) {
    this->AddProblem(key, Describe(range, must_be_whole));
    return std::nullopt;
  }
  return number;
}

double SectionReader::Number(const std::string& key, NumberRange range) {
  return this->ParseNumber(key, range, false).value_or(range.low);
}

double SectionReader::NumberOr(const std::string& key,
                               NumberRange range,
                               double fallback) {
  return this->Find(key) ? this->Number(key, range) : fallback;
}

long SectionReader::Integer(const std::string& key, NumberRange range) {
  return std::lround(this->ParseNumber(key, range, true).value_or(range.low));
}

long SectionReader::IntegerOr(const std::string& key,
                              NumberRange range,
                              long fallback) {
  return this->Find(key) ? this->Integer(key, range) : fallback;
}

bool SectionReader::Boolean(const std::string& key) {
  const std::string value = this->Text(key);
  if (!value.empty() && value != "yes" && value != "no") {
    this->AddProblem(key, "yes or no");
  }
  return value == "yes";
}

bool SectionReader::BooleanOr(const std::string& key, bool fallback) {
  return this->Find(key) ? this->Boolean(key) : fallback;
}

void SectionReader::RejectUnknownKeys() {
  for (const IniEntry& entry : this->section.entries) {
    if (!this->read_keys.contains(entry.key)) {
      this->problems.push_back({entry.line, this->section.name, entry.key,
                                entry.value,
                                "a key that this section supports"});
    }
  }
}

}  // namespace parsleyquay
