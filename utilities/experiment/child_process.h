#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_CHILD_PROCESS_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace parsleyquay {

// A child process of an experiment. The destructor kills it and waits for its
// end.
class ChildProcess {
 public:
  // Starts the program `command[0]` with the arguments in `command`, and
  // appends its standard output and standard error to `log_file`. If the
  // program cannot be started, HasEnded() returns true.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;

  // Sends SIGKILL and waits until the process has ended.
  void Kill();

  // Returns whether the process has ended, without waiting for it. Reaps the
  // process if so, which makes its exit code available.
  bool HasEnded();
  // The exit code that HasEnded() collected; -1 if there is none, or if a
  // signal ended the process.
  int exit_code() const { return this->code; }
  pid_t id() const { return this->process_id; }

 private:
  pid_t process_id = -1;
  bool is_running = false;
  int code = -1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_CHILD_PROCESS_H_
