/// \file Socket addresses: IPv4 or IPv6 with a port.
#pragma once

#include "core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// An IP address with a port. Names are not resolved: every process reads
/// numeric addresses from its settings.
struct address {
  std::string Ip;         ///< Numeric address without brackets; empty if none.
  std::uint16_t Port = 0; ///< 0 lets the system choose when listening.

  auto operator<=>(const address &) const = default;

  [[nodiscard]] auto valid() const -> bool { return !Ip.empty(); }
  [[nodiscard]] auto isIpv6() const -> bool {
    return Ip.find(':') != std::string::npos;
  }

  /// \return `IP:PORT`, with brackets around an IPv6 address.
  [[nodiscard]] auto text() const -> std::string;
};

/// Parses `1.2.3.4:80` or `[::1]:80`. \return bad_request if \p Text is
/// anything else.
[[nodiscard]] auto parseAddress(std::string_view Text) -> result<address>;

/// Address of one replica of control.
struct replica_address {
  std::uint64_t Id = 0; ///< Replica id; 0 is invalid.
  address Address;      ///< Its control RPC address.

  auto operator<=>(const replica_address &) const = default;

  /// \return `ID=IP:PORT`.
  [[nodiscard]] auto text() const -> std::string;
};

/// Parses `ID=IP:PORT`. \return bad_request if \p Text is anything else.
[[nodiscard]] auto parseReplicaAddress(std::string_view Text)
    -> result<replica_address>;

} // namespace acacianotch
