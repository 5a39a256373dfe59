/// \file Which backend servers are cold, and what may be sent to them.
#pragma once

#include "board/cold_type.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acacianotch {

/// Keeps requests to cold backend servers within this gateway's shares; see
/// cold_shares. Without a valid share a cold server gets nothing, because the
/// other gateways may use all that it can take.
class cold_limiter {
public:
  /// Sets what a server can take while it is cold, in requests per ColdWindow;
  /// 0 for no limit, upon which it never counts as cold.
  auto setLimit(server_key Server, std::uint32_t Limit) -> void;

  /// Records that a server is cold until \p Until at least.
  auto markCold(server_key Server, time_point Until) -> void;

  /// Records whether the list of backend servers shows a server as cold.
  auto setListed(server_key Server, bool Cold) -> void;

  /// Drops what is known of a server.
  auto remove(server_key Server) -> void;

  /// Records that a request is sent to a server.
  auto recordSent(server_key Server, time_point Now) -> void;

  /// \return the requests sent to servers with a limit since the last call.
  [[nodiscard]] auto takeSent() -> std::uint32_t {
    return std::exchange(SentCount, 0);
  }

  /// Applies the shares in an answer to what was asked at \p AskedAt.
  auto setShares(std::span<const cold_share> Shares, time_point AskedAt)
      -> void;

  /// \return whether a request may be sent to a server now.
  [[nodiscard]] auto admits(server_key Server, time_point Now) const -> bool;

  [[nodiscard]] auto cold(server_key Server, time_point Now) const -> bool;

  /// \return the servers that this gateway knows to be cold by itself.
  [[nodiscard]] auto knownCold(time_point Now) const
      -> std::vector<cold_server>;

  /// \return the requests that this gateway may send to a server in a
  /// ColdWindow; 0 without a valid share.
  [[nodiscard]] auto shareOf(server_key Server, time_point Now) const
      -> std::uint32_t;

private:
  struct entry {
    std::uint32_t Limit = 0;
    bool Listed = false;        ///< As cold.
    time_point ColdUntil{};     ///< By what this gateway has seen.
    time_point ToldColdUntil{}; ///< By what other gateways know.
    std::uint32_t Share = 0;
    time_point ShareUntil{};
    std::deque<time_point> Sent; ///< Within the last ColdWindow.
  };

  [[nodiscard]] static auto cold(const entry &Entry, time_point Now) -> bool;

  std::unordered_map<server_key, entry> Entries; ///< With a limit.
  std::uint32_t SentCount = 0;
};

} // namespace acacianotch
