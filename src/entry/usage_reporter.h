/// \file Sends usage records to the control leader until they are stored.
#pragma once

#include "catalogue/command_type.h"
#include "net/event_loop.h"
#include "node/leader_client.h"
#include "node/sequential_call.h"

#include <deque>
#include <memory>

namespace acacianotch {

/// Sends usage records in batches. A batch is retried until it is stored; the
/// control leader drops duplicates by request id.
class usage_reporter {
public:
  usage_reporter(event_loop &Loop, leader_client &Client, std::string Issuer);

  /// Adds the usage of one request.
  auto add(usage_record Record) -> void;

  /// \return the number of records that are not confirmed as stored.
  [[nodiscard]] auto pending() const -> std::size_t {
    return Queued.size() + InFlight.size();
  }

private:
  auto flush() -> void;
  auto handleResult(const command_result &Result) -> void;

  leader_client &Client;
  std::string Issuer;
  std::deque<usage_record> Queued;
  std::vector<usage_record> InFlight;
  std::unique_ptr<loop_timer> Timer;
  sequential_call Call;
};

} // namespace acacianotch
