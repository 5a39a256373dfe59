/// \file Record of a soak run, with the guarantees that were violated.
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

/// Records requests, responses and violated guarantees. Thread-safe.
class ledger {
public:
  /// Records a request before it is sent; its id must be unique.
  auto recordRequest(const std::string &Id, bool Idempotent) -> void;

  /// Records a response which states that the request has not run.
  auto recordRefusal(const std::string &Id) -> void;

  /// Records a complete response.
  auto recordAnswer() -> void;

  /// Records a violation of \p Guarantee.
  auto recordViolation(const std::string &Guarantee, const std::string &Detail)
      -> void;

  /// Compares the number of runs at the backend servers, by request id, with
  /// the recorded requests and refusals.
  auto checkRuns(const std::map<std::string, int> &Runs) -> void;

  [[nodiscard]] auto requests() const -> std::size_t;
  [[nodiscard]] auto answers() const -> std::size_t;
  [[nodiscard]] auto refusals() const -> std::size_t;

  /// \return one line for each violation.
  [[nodiscard]] auto violations() const -> std::vector<std::string>;

private:
  mutable std::mutex Lock;
  std::map<std::string, bool> Requests; ///< Idempotent, by request id.
  std::set<std::string> Refused;
  std::size_t Answered = 0;
  std::vector<std::string> Violations;
};

} // namespace acacianotch::soak
