/// \file Child process of a test.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Limit of every wait for a condition; sanitizer builds on a shared machine
/// take many times longer than plain ones.
inline constexpr auto WaitLimit = std::chrono::seconds(60);

/// Polls \p Condition. \return whether it held within \p Limit.
[[nodiscard]] auto waitUntil(const std::function<bool()> &Condition,
                             std::chrono::milliseconds Limit = WaitLimit)
    -> bool;

/// A child process. The destructor kills it; the kernel kills it if the test
/// program dies first.
class child_process {
public:
  /// Starts \p Words with its output in \p LogFile.
  child_process(const std::vector<std::string> &Words,
                const std::string &LogFile);
  ~child_process();
  child_process(const child_process &) = delete;
  auto operator=(const child_process &) -> child_process & = delete;

  /// Sends \p Signal unless the process has ended.
  auto signal(int Signal) -> void;

  /// Sends SIGKILL and waits for the end.
  auto kill() -> void;

  /// Waits for the end. \return the exit code, the negative number of the
  /// signal that ended the process, or nothing after \p Limit.
  auto wait(std::chrono::milliseconds Limit = WaitLimit) -> std::optional<int>;

  [[nodiscard]] auto running() -> bool;

private:
  auto poll() -> void;

  int Pid = -1;
  std::optional<int> Status;
};

} // namespace acacianotch
