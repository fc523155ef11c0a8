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

// A class of requests, with its service level objective and its deadline.
struct RequestClass {
  long target_latency_ms = 0;
  double target_percent = 0;   // percentage of requests that must meet it
  bool is_idempotent = false;  // whether a request may be repeated
  long deadline_ms = 0;

  bool operator==(const RequestClass&) const = default;
};

// A group of interchangeable backend servers.
struct Service {
  double min_healthy_percent = 0;  // percentage that ejection must leave in use

  bool operator==(const Service&) const = default;
};

// Maps a path prefix to a service and a class of requests.
struct Route {
  std::string path_prefix;
  std::string service;
  std::string request_class;
  bool is_public = false;  // served without an API key

  bool operator==(const Route&) const = default;
};

// A customer, with its rate limit and its weight in fair queueing.
struct Workspace {
  double rate_per_second = 0;
  double burst = 0;   // requests
  double weight = 1;  // relative weight when capacity is contended

  bool operator==(const Workspace&) const = default;
};

// The complete configuration that operators declare, by object name.
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

// Parses and validates a declaration file. Returns all problems at once; the
// declaration may be used only if there are none.
ParsedDeclaration ParseDeclaration(const std::string& text);

// Checks that every route refers to an existing service and class, and that no
// two routes have the same path prefix. Returns one text for each violation,
// fit to follow the word "expected" in a message to the operator.
std::vector<std::string> FindReferenceErrors(const Declaration& declaration);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DECLARATION_DECLARATION_H_
