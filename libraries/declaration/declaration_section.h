#ifndef PARSLEYQUAY_DECLARATION_DECLARATION_SECTION_H_
#define PARSLEYQUAY_DECLARATION_DECLARATION_SECTION_H_

#include <string>
#include <vector>

#include "declaration/declaration.h"
#include "ini/ini_document.h"

namespace parsleyquay {

// A change of one section between two declarations: its new entries, or none if
// the section is removed.
struct SectionChange {
  std::string name;  // "workspace isp-a"
  std::vector<IniEntry> entries;

  bool is_removal() const { return this->entries.empty(); }
  bool operator==(const SectionChange&) const = default;
};

// Parses one section and stores its object in `declaration`. Appends what is
// wrong with it to `problems`.
void ApplySection(const IniSection& section,
                  Declaration& declaration,
                  std::vector<IniProblem>& problems);

// Applies one change to a declaration. Appends what is wrong with it to
// `problems`.
void ApplyChange(const SectionChange& change,
                 Declaration& declaration,
                 std::vector<IniProblem>& problems);

// Returns the changes that turn the declaration `from` into `to`.
std::vector<SectionChange> FindChanges(const Declaration& from,
                                       const Declaration& to);

// Formats a change as an INI section, or a removal as an INI comment.
std::string ToString(const SectionChange& change);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DECLARATION_DECLARATION_SECTION_H_
