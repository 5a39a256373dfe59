/// \file Sends usage records to control until they are stored.
#pragma once

#include "catalogue/command_type.h"
#include "net/event_loop.h"
#include "node/leader_client.h"
#include "node/sequential_call.h"

#include <deque>
#include <memory>

namespace acacianotch {

/// Batches usage records. A batch is sent again until control has stored it;
/// control drops duplicates by request id.
class usage_reporter {
public:
  usage_reporter(event_loop &Loop, leader_client &Client, std::string Issuer);

  /// Adds the usage of one request.
  auto add(usage_record Record) -> void;

  /// \return records that control has not confirmed.
  [[nodiscard]] auto pending() const -> std::size_t {
    return Waiting.size() + InFlight.size();
  }

private:
  auto flush() -> void;
  auto handleResult(const command_result &Result) -> void;

  leader_client &Client;
  std::string Issuer;
  std::deque<usage_record> Waiting;
  std::vector<usage_record> InFlight;
  std::unique_ptr<loop_timer> Timer;
  sequential_call Call;
};

} // namespace acacianotch
