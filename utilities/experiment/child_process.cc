#include "experiment/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

namespace parsleyquay {

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_file) {
  std::vector<char*> arguments;
  std::ranges::transform(command, std::back_inserter(arguments),
                         [](const std::string& argument) {
                           return const_cast<char*>(argument.c_str());
                         });
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  this->is_running = posix_spawn(&this->process_id, arguments[0], &actions,
                                 nullptr, arguments.data(), environ) == 0;
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  this->Kill();
}

void ChildProcess::Signal(int signal) const {
  if (this->is_running) {
    kill(this->process_id, signal);
  }
}

void ChildProcess::Kill() {
  if (!this->is_running) {
    return;
  }
  this->Signal(SIGKILL);
  waitpid(this->process_id, nullptr, 0);
  this->is_running = false;
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (this->is_running &&
      waitpid(this->process_id, &status, WNOHANG) == this->process_id) {
    this->is_running = false;
    this->code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  return !this->is_running;
}

}  // namespace parsleyquay
