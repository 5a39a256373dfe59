/// \file The operators' interface of a process that holds no replica.
#pragma once

#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>

namespace acacianotch::platform {

/// Sends an operator to the leader, which listens at \p Port as all replicas
/// do; `Leader` is its RPC address. Without a leader the answer is 503.
auto redirectToLeader(const std::shared_ptr<http_exchange> &Exchange,
                      const std::optional<address> &Leader, std::uint16_t Port)
    -> void;

/// Answers every request of an operator with the leader's address.
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
