/// \file A request in the form in which an entry sends it to agents.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "net/event_loop.h"

#include <acacianotch.capnp.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

class agent_connections;
class pool_set;

/// Components that all dispatches of an entry use.
struct dispatch_context {
  event_loop &Loop;
  pool_set &Pools;
  agent_connections &Agents;
  const catalogue_view &View;
};

/// A request in the form in which it is sent to agents.
struct dispatch_request {
  request_id Id;
  account_id Account;
  double AccountWeight = 1;
  version_ref Version; ///< Its model is empty for a plain service.
  std::string Service;
  std::string Class;
  std::uint8_t Priority = 0;
  bool Long = false;
  bool Idempotent = true;
  bool Streamed = false;
  bool HideUsage = false;
  bool Isolated = false;
  time_point Deadline = time_point::max();
  std::uint64_t Fingerprint = 0;
  std::optional<std::uint64_t> AffinityKey;
  std::string Method = "POST";
  std::string Path;
  std::string ContentType;
  std::string Body;
};

/// Serializes attempt \p Number of \p Request, with the revision and the epoch
/// of \p View.
auto writeWorkRequest(wire::WorkRequest::Builder Work,
                      const dispatch_request &Request, std::uint32_t Number,
                      const catalogue_view &View) -> void;

/// \return the number of server-sent events that end in \p Data. An engine
/// sends one event per token.
[[nodiscard]] auto countEvents(std::string_view Data) -> std::uint32_t;

} // namespace acacianotch
