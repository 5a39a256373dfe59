/// \file Evidence on requests that crash backend servers.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// Id of a part of prompts, as in prompt_part, or fingerprint of a whole
/// request, which is treated like a part of it.
using part_id = std::uint64_t;

/// An attempt whose backend server closed the connection before or just after
/// the answer began, as it does when the request crashes it.
struct broken_attempt {
  std::string Server;
  std::vector<part_id> Parts; ///< In the order of the prompt; may be empty.
  bool Begun = false;         ///< The head of the answer had arrived.
  part_id Request = 0;        ///< Fingerprint; 0 if unknown.
  time_point At{};            ///< By the clock of the process that holds this.
};

/// What a gateway has observed since its last accepted report.
struct crash_report {
  std::vector<broken_attempt> Broken;
  std::vector<part_id>
      Answered; ///< Watched parts of requests that were answered.
  std::vector<part_id> Blocked; ///< Known to the gateway.
  std::uint64_t Epoch = 0;      ///< Of the leader that it knows them from.
};

/// What gateways do about parts of prompts.
struct crash_verdicts {
  std::vector<part_id> Watched; ///< Report answers to prompts with them.
  std::vector<part_id> Blocked; ///< Reject prompts with them.
  /// Blocked ones of which this gateway lets one request pass.
  std::vector<part_id> Probes;
  std::uint64_t Epoch = 0; ///< Of the leader.
};

} // namespace acacianotch
