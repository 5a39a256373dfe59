/// \file The operator of a soak run.
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

namespace acacianotch::soak {

/// \return the routing document with a number; one of its routes names it.
[[nodiscard]] auto routingDocument(std::uint64_t Number) -> std::string;

/// Sends routing documents one after another, sometimes twice or an old one
/// again, and reads them back at any replica.
class routing_operator {
public:
  routing_operator(const platform_deployment &System, ledger &Ledger,
                   std::uint64_t Seed);
  ~routing_operator();
  routing_operator(const routing_operator &) = delete;
  auto operator=(const routing_operator &) -> routing_operator & = delete;

  /// Starts to send.
  auto start() -> void;

  /// Ends after the current call.
  auto stop() -> void;

  /// \return the highest number that was acknowledged.
  [[nodiscard]] auto acknowledged() const -> std::uint64_t { return Acked; }

  /// \return the highest number that was sent.
  [[nodiscard]] auto sent() const -> std::uint64_t { return Next; }

  /// Checks one read of the document; an answer other than 200 tells nothing.
  auto checkRead(const http_answer &Answer, std::uint64_t AckedBefore) -> void;

private:
  auto run() -> void;
  auto publish() -> void;
  auto readBack() -> void;
  auto ask(const std::string &Method, const std::string &Body) -> http_answer;

  const platform_deployment &System;
  ledger &Ledger;
  std::mt19937_64 Random;
  std::uint64_t Next = 1;
  std::atomic<std::uint64_t> Acked = 0;
  /// Acknowledged long enough ago to be seen by every read.
  std::uint64_t Settled = 0;
  std::map<soak_time, std::uint64_t> AckTimes;
  std::atomic<bool> Stop = false;
  std::thread Thread;
};

} // namespace acacianotch::soak
