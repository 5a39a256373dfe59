/// \file What callers and the operator of a soak run have seen.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace acacianotch::soak {

using soak_time = std::chrono::steady_clock::time_point;

/// Collects observations of all threads and the promises that were broken.
class ledger {
public:
  /// Notes a request before it is sent; its id must be new.
  auto sent(const std::string &Id, bool MayRepeat) -> void;

  /// Notes an answer that states that the request has not run.
  auto refused(const std::string &Id) -> void;

  /// Notes one answer that came whole.
  auto answered() -> void;

  /// Notes a broken promise.
  auto broken(const std::string &Promise, const std::string &Detail) -> void;

  /// Compares the runs that the backend servers saw, by request id, with what
  /// callers sent and were told.
  auto checkRuns(const std::map<std::string, int> &Runs) -> void;

  [[nodiscard]] auto requests() const -> std::size_t;
  [[nodiscard]] auto answers() const -> std::size_t;
  [[nodiscard]] auto refusals() const -> std::size_t;

  /// \return one line for each broken promise.
  [[nodiscard]] auto breaks() const -> std::vector<std::string>;

private:
  mutable std::mutex Lock;
  std::map<std::string, bool> Requests; ///< Whether it may run again.
  std::set<std::string> Refused;
  std::size_t Answered = 0;
  std::vector<std::string> Breaks;
};

} // namespace acacianotch::soak
