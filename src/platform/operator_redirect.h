/// \file Redirect of operators' HTTP requests to the leader.
#pragma once

#include "net/http_server.h"
#include "platform/configuration_codec.h"
#include "table/settings_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acacianotch::platform {

/// Largest request body that any process accepts from operators, bytes.
inline constexpr std::size_t MaxOperatorBodyBytes = MaxConfigurationBytes;

/// \return the URL of the target of \p Exchange at \p Port of \p Leader's IP
/// address; all replicas listen for operators at this port.
[[nodiscard]] auto leaderLocation(const http_exchange &Exchange,
                                  const address &Leader, std::uint16_t Port)
    -> std::string;

/// Operators' interface of a process without a replica: redirects every request
/// to the leader, or answers 503 if none is known.
class operator_redirect {
public:
  /// Returns the leader's RPC address, if known.
  using leader_source = std::function<std::optional<address>()>;

  /// \return the interface; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   const node_settings &Node,
                                   leader_source Leader)
      -> result<std::unique_ptr<operator_redirect>>;

  /// \return the server, for its counts.
  [[nodiscard]] auto server() const -> const http_server & { return *Http; }

private:
  operator_redirect() = default;

  std::unique_ptr<http_server> Http;
};

} // namespace acacianotch::platform
