#include "process/support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace acacianotch {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr int ExecFailedExitCode = 127;
constexpr int LogMode = 0600;

[[noreturn]] auto runChild(std::vector<char *> &Arguments,
                           const std::string &LogFile) -> void {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments.front(), Arguments.data());
  _exit(ExecFailedExitCode);
}

} // namespace

auto waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Limit) -> bool {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

child_process::child_process(const std::vector<std::string> &CommandLine,
                             const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(CommandLine.size() + 1);
  for (const auto &Argument : CommandLine)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  Pid = fork();
  if (Pid == 0)
    runChild(Arguments, LogFile);
}

child_process::~child_process() { kill(); }

auto child_process::signal(int Signal) -> void {
  if (running())
    ::kill(Pid, Signal);
}

auto child_process::kill() -> void {
  signal(SIGKILL);
  wait();
}

auto child_process::wait(std::chrono::milliseconds Limit)
    -> std::optional<int> {
  if (!waitUntil([this] { return !running(); }, Limit))
    return std::nullopt;
  return Status;
}

auto child_process::running() -> bool {
  poll();
  return !Status.has_value();
}

auto child_process::poll() -> void {
  int RawStatus = 0;
  if (Status || Pid < 0 || waitpid(Pid, &RawStatus, WNOHANG) != Pid)
    return;
  Status = WIFEXITED(RawStatus) ? WEXITSTATUS(RawStatus) : -WTERMSIG(RawStatus);
}

} // namespace acacianotch
