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
constexpr int ExecFailed = 127;
constexpr int LogMode = 0600;

[[noreturn]] auto runChild(std::vector<char *> &Arguments,
                           const std::string &LogFile) -> void {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments.front(), Arguments.data());
  _exit(ExecFailed);
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

child_process::child_process(const std::vector<std::string> &Words,
                             const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (const auto &Word : Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
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
  int Raw = 0;
  if (Status || Pid < 0 || waitpid(Pid, &Raw, WNOHANG) != Pid)
    return;
  Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -WTERMSIG(Raw);
}

} // namespace acacianotch
