/// \file Operator that publishes routing documents during a soak run.
#pragma once

#include "process/support/platform_deployment.h"
#include "soak/ledger.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace acacianotch::soak {

/// \return the routing document with version \p Number. It has a route for each
/// number for which routeListed() holds.
[[nodiscard]] auto routingDocument(std::uint64_t Number) -> std::string;

/// \return whether the document with version \p Number has the route of the
/// version \p RouteNumber.
[[nodiscard]] auto routeListed(std::uint64_t RouteNumber, std::uint64_t Number)
    -> bool;

/// Publishes routing documents in sequence and reads them back from any
/// replica, also on connections that stay open. Some documents are sent twice,
/// and some are stale.
class routing_operator {
public:
  routing_operator(const platform_deployment &System, ledger &Ledger,
                   std::uint64_t Seed);
  ~routing_operator();
  routing_operator(const routing_operator &) = delete;
  auto operator=(const routing_operator &) -> routing_operator & = delete;

  /// Starts the threads that publish and read.
  auto start() -> void;

  /// Stops after the current calls and joins the threads.
  auto stop() -> void;

  /// \return the highest acknowledged document version.
  [[nodiscard]] auto acknowledged() const -> std::uint64_t {
    return AckedNumber;
  }

  /// \return the highest version that was acknowledged long enough ago to be in
  /// force everywhere.
  [[nodiscard]] auto visible() const -> std::uint64_t { return VisibleNumber; }

  /// \return the document version that is sent next.
  [[nodiscard]] auto sent() const -> std::uint64_t { return NextNumber; }

  /// Checks one read of the document. A response other than 200 is ignored.
  auto checkRead(const http_answer &Answer, std::uint64_t AckedBefore) -> void;

private:
  auto run() -> void;
  auto publish() -> void;
  auto readBack() -> void;
  auto readRepeatedly(std::uint16_t Port, std::uint64_t Seed) -> void;
  auto sendRequest(const std::string &Method, const std::string &Body)
      -> http_answer;

  const platform_deployment &System;
  ledger &Ledger;
  std::mt19937_64 Random;
  std::atomic<std::uint64_t> NextNumber = 1;
  std::atomic<std::uint64_t> AckedNumber = 0;
  /// Highest version acknowledged long enough ago that every read must see it.
  std::atomic<std::uint64_t> VisibleNumber = 0;
  std::map<soak_time, std::uint64_t> AckTimes;
  std::atomic<bool> Stop = false;
  std::thread Thread;
  std::vector<std::thread> Readers;
};

} // namespace acacianotch::soak
