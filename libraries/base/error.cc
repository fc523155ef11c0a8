#include "base/error.h"

namespace parsleyquay {

std::string ToString(const Error& error) {
  const std::string text = error.step + ": " + error.detail;
  return error.peer.empty() ? text : text + " (" + error.peer + ")";
}

boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

bool RunOrReport(const std::function<Result<void>()>& action,
                 const std::function<void(const Error&)>& on_error) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(action());
        return true;
      },
      [&](const Error& error) {
        on_error(error);
        return false;
      },
      [&] {
        on_error({"unknown step", "", "no error details available"});
        return false;
      });
}

}  // namespace parsleyquay
