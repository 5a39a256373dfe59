/// \file Which backend servers are cold, and what may be sent to them.
#pragma once

#include "board/cold_type.h"

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

  /// Records that a server may have started at \p From and is cold until
  /// \p Until, unless a list shows otherwise.
  auto markCold(server_key Server, time_point From, time_point Until) -> void;

  /// Records that a list shows all starts before \p Before. Servers that it
  /// does not show as cold were not started anew.
  auto confirmListed(time_point Before) -> void;

  /// Records whether the list of backend servers shows a server as cold.
  auto setListed(server_key Server, bool Cold) -> void;

  /// Records that a server is no longer listed. What was sent to it counts on,
  /// because it may return under the same id.
  auto release(server_key Server) -> void;

  /// Records that a request is wanted to be sent to some server with a limit.
  auto recordDemand() -> void { ++Demand; }

  /// Records that a request is sent to a server.
  auto recordSent(server_key Server, time_point Now) -> void;

  /// Records that the first request sent at \p SentAt or later had to wait for
  /// its connection until \p Now.
  auto recordConnected(server_key Server, time_point SentAt, time_point Now)
      -> void;

  /// \return the requests that were wanted since the last call.
  [[nodiscard]] auto takeDemand() -> std::uint32_t {
    return std::exchange(Demand, 0);
  }

  /// Drops released servers once nothing that was sent to them counts.
  auto forgetReleased(time_point Now) -> void;

  /// Applies the shares in an answer to what was asked at \p AskedAt.
  auto setShares(std::span<const cold_share> Shares, time_point AskedAt)
      -> void;

  /// \return whether no server has a limit.
  [[nodiscard]] auto empty() const -> bool { return Entries.empty(); }

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
    bool Released = false;      ///< No longer listed at all.
    time_point MarkedFrom{};    ///< Time of the possible start.
    time_point ColdUntil{};     ///< By what this gateway has seen.
    time_point ToldColdUntil{}; ///< By what other gateways know.
    std::uint32_t Share = 0;
    time_point ShareUntil{};
    std::vector<time_point> Sent; ///< Within the last ColdWindow.
  };

  [[nodiscard]] static auto cold(const entry &Entry, time_point Now) -> bool;
  [[nodiscard]] static auto recentlySent(const entry &Entry, time_point Now)
      -> std::uint32_t;

  std::unordered_map<server_key, entry> Entries; ///< With a limit.
  std::uint32_t Demand = 0;
};

} // namespace acacianotch
