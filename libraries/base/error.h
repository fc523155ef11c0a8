#ifndef PARSLEYQUAY_BASE_ERROR_H_
#define PARSLEYQUAY_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <functional>
#include <string>

namespace parsleyquay {

template <typename T>
using Result = boost::leaf::result<T>;

// Describes a failure: the operation that failed, the remote address or other
// party involved ("" if none), and the reason.
struct Error {
  std::string step;
  std::string peer;
  std::string detail;

  bool operator==(const Error&) const = default;
};

// Formats an error as "step: detail (peer)", or as "step: detail" without a
// peer.
std::string ToString(const Error& error);

// Makes the error that a function with a Result return type returns on failure.
boost::leaf::error_id Fail(Error error);

// Runs an action that may fail and returns whether it succeeded. If it failed,
// calls `on_error` once with the error.
bool RunOrReport(const std::function<Result<void>()>& action,
                 const std::function<void(const Error&)>& on_error);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_ERROR_H_
