#include "declaration/declaration_section.h"

#include <array>
#include <charconv>
#include <sstream>

#include "ini/section_reader.h"

namespace parsleyquay {

namespace {

constexpr NumberRange kLatencyRangeMs = {1, 600'000};
constexpr NumberRange kDeadlineRangeMs = {1, 3'600'000};
constexpr NumberRange kPercentRange = {0, 100};
constexpr NumberRange kRateRange = {0.001, 1'000'000};
constexpr NumberRange kBurstRange = {1, 1'000'000};
constexpr NumberRange kShareRange = {0.01, 1'000};

struct SectionName {
  std::string kind;
  std::string object;
};

SectionName SplitName(const std::string& name) {
  const auto blank = name.find(' ');
  if (blank == std::string::npos) {
    return {name, ""};
  }
  return {name.substr(0, blank), name.substr(blank + 1)};
}

// Renders a number in the shortest form that reads back to the same value.
std::string NumberText(double number) {
  std::array<char, 32> buffer;
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return {buffer.data(), written.ptr};
}

std::string FlagText(bool flag) {
  return flag ? "yes" : "no";
}

void ReadWorkClass(SectionReader& reader, RequestClass& request_class) {
  request_class.target_latency_ms =
      reader.Integer("target_latency_ms", kLatencyRangeMs);
  request_class.target_percent = reader.Number("target_percent", kPercentRange);
  request_class.is_idempotent = reader.Boolean("idempotent");
  request_class.deadline_ms = reader.Integer("deadline_ms", kDeadlineRangeMs);
}

void ReadService(SectionReader& reader, Service& service) {
  service.min_healthy_percent = reader.Number("floor_percent", kPercentRange);
}

void ReadRoute(SectionReader& reader, Route& route) {
  route.path_prefix = reader.Text("path");
  if (!route.path_prefix.empty() && !route.path_prefix.starts_with('/')) {
    reader.AddProblem("path", "a path that starts with /");
  }
  if (route.path_prefix.starts_with("/.parsleyquay")) {
    reader.AddProblem("path", "a path outside /.parsleyquay");
  }
  route.service = reader.Text("service");
  route.request_class = reader.Text("class");
  route.is_public = reader.BooleanOr("open", false);
}

void ReadWorkspace(SectionReader& reader, Workspace& workspace) {
  workspace.rate_per_second = reader.Number("rate_per_second", kRateRange);
  workspace.burst = reader.Number("burst", kBurstRange);
  workspace.weight = reader.NumberOr("share", kShareRange, 1);
}

std::vector<IniEntry> ToEntries(const RequestClass& request_class) {
  return {
      {"target_latency_ms", std::to_string(request_class.target_latency_ms)},
      {"target_percent", NumberText(request_class.target_percent)},
      {"idempotent", FlagText(request_class.is_idempotent)},
      {"deadline_ms", std::to_string(request_class.deadline_ms)}};
}

std::vector<IniEntry> ToEntries(const Service& service) {
  return {{"floor_percent", NumberText(service.min_healthy_percent)}};
}

std::vector<IniEntry> ToEntries(const Route& route) {
  return {{"path", route.path_prefix},
          {"service", route.service},
          {"class", route.request_class},
          {"open", FlagText(route.is_public)}};
}

std::vector<IniEntry> ToEntries(const Workspace& workspace) {
  return {{"rate_per_second", NumberText(workspace.rate_per_second)},
          {"burst", NumberText(workspace.burst)},
          {"share", NumberText(workspace.weight)}};
}

template <typename T>
void FindMapChanges(const std::string& kind,
                    const std::map<std::string, T>& from,
                    const std::map<std::string, T>& to,
                    std::vector<SectionChange>& changes) {
  for (const auto& [name, value] : to) {
    const auto old = from.find(name);
    if (old == from.end() || old->second != value) {
      changes.push_back({kind + " " + name, ToEntries(value)});
    }
  }
  for (const auto& [name, value] : from) {
    if (!to.contains(name)) {
      changes.push_back({kind + " " + name, {}});
    }
  }
}

void RejectSection(const IniSection& section,
                   const std::string& expected,
                   std::vector<IniProblem>& problems) {
  problems.push_back({section.line, section.name, "", "", expected});
}

}  // namespace

void ApplySection(const IniSection& section,
                  Declaration& declaration,
                  std::vector<IniProblem>& problems) {
  const SectionName name = SplitName(section.name);
  if (name.object.empty()) {
    RejectSection(section, "a section name such as [workspace NAME]", problems);
    return;
  }
  SectionReader reader(section, problems);
  if (name.kind == "class") {
    ReadWorkClass(reader, declaration.request_classes[name.object]);
  } else if (name.kind == "service") {
    ReadService(reader, declaration.services[name.object]);
  } else if (name.kind == "route") {
    ReadRoute(reader, declaration.routes[name.object]);
  } else if (name.kind == "workspace") {
    ReadWorkspace(reader, declaration.workspaces[name.object]);
  } else {
    RejectSection(section, "class, service, route or workspace", problems);
    return;
  }
  reader.RejectUnknownKeys();
}

void ApplyChange(const SectionChange& change,
                 Declaration& declaration,
                 std::vector<IniProblem>& problems) {
  if (!change.is_removal()) {
    ApplySection({change.name, 0, change.entries}, declaration, problems);
    return;
  }
  const SectionName name = SplitName(change.name);
  declaration.request_classes.erase(name.kind == "class" ? name.object : "");
  declaration.services.erase(name.kind == "service" ? name.object : "");
  declaration.routes.erase(name.kind == "route" ? name.object : "");
  declaration.workspaces.erase(name.kind == "workspace" ? name.object : "");
}

std::vector<SectionChange> FindChanges(const Declaration& from,
                                       const Declaration& to) {
  std::vector<SectionChange> changes;
  FindMapChanges("class", from.request_classes, to.request_classes, changes);
  FindMapChanges("service", from.services, to.services, changes);
  FindMapChanges("route", from.routes, to.routes, changes);
  FindMapChanges("workspace", from.workspaces, to.workspaces, changes);
  return changes;
}

std::string ToString(const SectionChange& change) {
  std::ostringstream text;
  if (change.is_removal()) {
    text << "; removed: [" << change.name << "]\n";
    return text.str();
  }
  text << '[' << change.name << "]\n";
  for (const IniEntry& entry : change.entries) {
    text << entry.key << " = " << entry.value << '\n';
  }
  return text.str();
}

}  // namespace parsleyquay
