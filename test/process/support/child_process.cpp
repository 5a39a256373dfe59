#include "process/support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace acacianotch {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr int ExecFailedExitCode = 127;
constexpr int LogMode = 0600;

auto pointersTo(const std::vector<std::string> &Texts) -> std::vector<char *> {
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (const auto &Text : Texts)
    Pointers.push_back(const_cast<char *>(Text.c_str()));
  Pointers.push_back(nullptr);
  return Pointers;
}

/// \return the environment of a process that reads its clocks through
/// test/preload/suspendable_clock.cpp if \p ClockFile is not empty.
auto environmentFor(const std::string &ClockFile) -> std::vector<std::string> {
  std::vector<std::string> Environment;
  for (auto **Variable = environ; *Variable != nullptr; ++Variable)
    Environment.emplace_back(*Variable);
  if (ClockFile.empty())
    return Environment;
  const auto *Options = std::getenv("ASAN_OPTIONS");
  // The sanitizer refuses to start if its library is not the first one.
  Environment.insert(
      Environment.begin(),
      {"LD_PRELOAD=" PROGRAM_FOLDER "/libsuspendable_clock.so",
       "ACACIANOTCH_TEST_SUSPENDED_NS_FILE=" + ClockFile,
       "ASAN_OPTIONS=" + std::string(Options == nullptr ? "" : Options) +
           ":verify_asan_link_order=0"});
  return Environment;
}

auto writeSuspendedTime(const std::string &ClockFile,
                        std::chrono::nanoseconds Time) -> void {
  const std::int64_t Count = Time.count();
  std::ofstream(ClockFile, std::ios::binary)
      .write(reinterpret_cast<const char *>(&Count), sizeof(Count));
}

[[noreturn]] auto runChild(std::vector<char *> &Arguments,
                           std::vector<char *> &Environment,
                           const std::string &LogFile) -> void {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execve(Arguments.front(), Arguments.data(), Environment.data());
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
                             const std::string &LogFile,
                             const std::string &TheClockFile)
    : ClockFile(TheClockFile) {
  if (!ClockFile.empty())
    writeSuspendedTime(ClockFile, SuspendedFor);
  auto Arguments = pointersTo(CommandLine);
  const auto Variables = environmentFor(ClockFile);
  auto Environment = pointersTo(Variables);
  Pid = fork();
  if (Pid == 0)
    runChild(Arguments, Environment, LogFile);
}

child_process::~child_process() { kill(); }

auto child_process::signal(int Signal) -> void {
  if (Signal == SIGCONT)
    countSuspendedTime();
  if (running())
    ::kill(Pid, Signal);
}

auto child_process::suspendVm() -> void {
  if (!running() || SuspendedAt)
    return;
  ::kill(Pid, SIGSTOP);
  siginfo_t Stopped{};
  waitid(P_PID, static_cast<id_t>(Pid), &Stopped, WSTOPPED | WEXITED | WNOWAIT);
  SuspendedAt = std::chrono::steady_clock::now();
}

auto child_process::resumeVm() -> void {
  if (SuspendedAt)
    signal(SIGCONT);
}

auto child_process::countSuspendedTime() -> void {
  if (!SuspendedAt)
    return;
  SuspendedFor += std::chrono::steady_clock::now() - *SuspendedAt;
  SuspendedAt.reset();
  writeSuspendedTime(ClockFile, SuspendedFor);
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

auto child_process::kernelState() const -> std::string {
  const auto Folder = "/proc/" + std::to_string(Pid);
  std::string Line;
  std::string State;
  std::ifstream Status(Folder + "/status");
  while (std::getline(Status, Line))
    if (Line.starts_with("State:"))
      State = Line;
  std::string Function;
  std::ifstream(Folder + "/wchan") >> Function;
  return State + " in " + Function;
}

auto child_process::poll() -> void {
  int RawStatus = 0;
  if (Status || Pid < 0 || waitpid(Pid, &RawStatus, WNOHANG) != Pid)
    return;
  Status = WIFEXITED(RawStatus) ? WEXITSTATUS(RawStatus) : -WTERMSIG(RawStatus);
}

} // namespace acacianotch
