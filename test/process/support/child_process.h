/// \file Child process of a test.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Default timeout of a wait for a condition. It allows for sanitizer builds on
/// a shared machine, which take many times longer than plain ones.
inline constexpr auto WaitLimit = std::chrono::seconds(60);

/// Polls \p Condition. \return whether it became true within \p Limit.
[[nodiscard]] auto waitUntil(const std::function<bool()> &Condition,
                             std::chrono::milliseconds Limit = WaitLimit)
    -> bool;

/// A child process. The destructor kills it; the kernel kills it if the test
/// program exits first.
class child_process {
public:
  /// Starts \p CommandLine with its output appended to \p LogFile. With a
  /// \p ClockFile, which is created, its VM can be suspended.
  child_process(const std::vector<std::string> &CommandLine,
                const std::string &LogFile, const std::string &ClockFile = "");
  ~child_process();
  child_process(const child_process &) = delete;
  auto operator=(const child_process &) -> child_process & = delete;

  /// Sends \p Signal unless the process has exited.
  auto signal(int Signal) -> void;

  /// Stops the process as if its VM were suspended: when it resumes, also by
  /// SIGCONT, its monotonic clock has not counted the time.
  auto suspendVm() -> void;

  /// Resumes the process if its VM is suspended.
  auto resumeVm() -> void;

  /// Sends SIGKILL and waits for the process to exit.
  auto kill() -> void;

  /// Waits for the process to exit. \return the exit code, the negative number
  /// of the signal that ended the process, or nothing after \p Limit.
  auto wait(std::chrono::milliseconds Limit = WaitLimit) -> std::optional<int>;

  [[nodiscard]] auto running() -> bool;

  [[nodiscard]] auto pid() const -> int { return Pid; }

  /// \return the scheduler's state of the process and the kernel function that
  /// it waits in, as /proc has them.
  [[nodiscard]] auto kernelState() const -> std::string;

private:
  auto poll() -> void;
  auto countSuspendedTime() -> void;

  int Pid = -1;
  std::optional<int> Status;
  std::string ClockFile;
  std::chrono::nanoseconds SuspendedFor{0};
  std::optional<std::chrono::steady_clock::time_point> SuspendedAt;
};

} // namespace acacianotch
