#ifndef PARSLEYQUAY_DECLARATION_DECLARATION_H_
#define PARSLEYQUAY_DECLARATION_DECLARATION_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ini/ini_document.h"

namespace parsleyquay {

// A class of work: its targets and whether a request may be repeated.
struct RequestClass {
  long target_latency_ms = 0;
  double target_percent = 0;  // share of requests that must meet the target
  bool is_idempotent = false;
  long deadline_ms = 0;

  bool operator==(const RequestClass&) const = default;
};

// A group of interchangeable backend servers.
struct Service {
  double min_healthy_percent = 0;  // healthy capacity that ejection must leave

  bool operator==(const Service&) const = default;
};

// Maps a path prefix to a service and a class of work.
struct Route {
  std::string path_prefix;
  std::string service;
  std::string request_class;
  bool is_public = false;  // served without a key

  bool operator==(const Route&) const = default;
};

// A customer with its own rate, burst and share of contended capacity.
struct Workspace {
  double rate_per_second = 0;
  double burst = 0;
  double weight = 1;

  bool operator==(const Workspace&) const = default;
};

// Everything that operators declare, by name.
struct Declaration {
  std::map<std::string, RequestClass> request_classes;
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::map<std::string, Workspace> workspaces;

  bool operator==(const Declaration&) const = default;
};

struct ParsedDeclaration {
  Declaration declaration;
  std::vector<IniProblem> problems;
};

// Reads and checks a whole declaration file. All faults are returned at once;
// the declaration may be used only when there is none.
ParsedDeclaration ParseDeclaration(const std::string& text);

// Checks the references between sections, in words for the operator.
std::vector<std::string> FindReferenceErrors(const Declaration& declaration);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DECLARATION_DECLARATION_H_
