#include "declaration/declaration.h"

#include "declaration/declaration_section.h"

namespace parsleyquay {

ParsedDeclaration ParseDeclaration(const std::string& text) {
  IniDocument document = ParseIni(text);
  ParsedDeclaration parsed;
  parsed.problems = std::move(document.problems);
  for (const IniSection& section : document.sections) {
    ApplySection(section, parsed.declaration, parsed.problems);
  }
  for (const std::string& broken : FindReferenceErrors(parsed.declaration)) {
    parsed.problems.push_back({0, "", "", "", broken});
  }
  return parsed;
}

std::vector<std::string> FindReferenceErrors(const Declaration& declaration) {
  std::vector<std::string> broken;
  std::map<std::string, std::string> prefixes;
  for (const auto& [name, route] : declaration.routes) {
    if (!declaration.services.contains(route.service)) {
      broken.push_back("[service " + route.service + "] because [route " +
                       name + "] names it");
    }
    if (!declaration.request_classes.contains(route.request_class)) {
      broken.push_back("[class " + route.request_class + "] because [route " +
                       name + "] names it");
    }
    const auto [other, is_new] = prefixes.emplace(route.path_prefix, name);
    if (!is_new) {
      broken.push_back("different paths for [route " + other->second +
                       "] and [route " + name + "]");
    }
  }
  return broken;
}

}  // namespace parsleyquay
