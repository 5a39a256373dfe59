/// \file Redirect of operators' HTTP requests to the leader.
#pragma once

#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>

namespace acacianotch::platform {

/// Redirects a request to \p Port at the leader's IP address; all replicas
/// listen for operators at this port. \p Leader is the leader's RPC address;
/// without a leader the answer is 503.
auto redirectToLeader(const std::shared_ptr<http_exchange> &Exchange,
                      const std::optional<address> &Leader, std::uint16_t Port)
    -> void;

/// Operators' interface of a process without a replica: redirects every request
/// to the leader.
class operator_redirect {
public:
  using leader_source = std::function<std::optional<address>()>;

  /// \return the interface; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   leader_source Leader)
      -> result<std::unique_ptr<operator_redirect>>;

private:
  operator_redirect() = default;

  std::unique_ptr<http_server> Http;
};

} // namespace acacianotch::platform
