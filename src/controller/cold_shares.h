/// \file Division of the request rate of cold backend servers among gateways.
#pragma once

#include "board/cold_type.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace acacianotch {

/// Divides what a cold backend server can take in a ColdWindow among all
/// gateways, by their traffic. Answers the load on servers that have just
/// started, which would crash under the traffic that all gateways together
/// send to an idle server.
///
/// Only the leader of control uses it. The sum of the shares in use never
/// exceeds the limit, also while gateways start, stop and freeze: a share is
/// given to another gateway only when its holder cannot have used it within the
/// last ColdWindow.
class cold_shares {
public:
  /// Starts anew, because this process has become the leader. Gives nothing
  /// until all shares that a former leader gave have ended.
  auto restart(time_point Now) -> void;

  /// Records the traffic of gateway \p Node, in requests per second, and the
  /// servers that it knows to be cold. Each process has another \p Node: after
  /// a restart it does not know what it has sent. \return its shares at all
  /// servers that some gateway knows to be cold.
  [[nodiscard]] auto exchange(const std::string &Node, std::uint32_t Rate,
                              std::span<const cold_server> Known,
                              time_point Now) -> std::vector<cold_share>;

  /// \return the number of servers that are divided at present.
  [[nodiscard]] auto size() const -> std::size_t { return Servers.size(); }

private:
  struct gateway {
    std::uint32_t Rate = 0;
    time_point HeardAt{};
  };
  /// A share that its holder may have used within the last ColdWindow.
  struct grant {
    std::uint32_t Requests = 0;
    time_point CountedUntil{};
  };
  struct server {
    std::uint32_t Limit = 0;
    time_point LimitAt{};      ///< When a gateway stated the limit.
    time_point KnownAt{};      ///< When a gateway last stated that it is cold.
    time_point TargetAt{};     ///< When Targets were computed.
    std::uint64_t Members = 0; ///< Of the gateways at that time.
    std::map<std::string, std::uint32_t> Targets;
    std::map<std::string, std::vector<grant>> Grants;
  };

  auto recordKnown(std::span<const cold_server> Known, time_point Now) -> void;
  auto forget(time_point Now) -> void;
  auto updateTargets(server_key Key, server &Server, time_point Now) const
      -> void;
  [[nodiscard]] static auto share(server &Server, const std::string &Node,
                                  time_point Now) -> std::uint32_t;

  std::map<std::string, gateway> Gateways;
  std::uint64_t Members = 0; ///< Raised with each change of the gateways.
  std::map<server_key, server> Servers;
  time_point ReadyAt{};
};

} // namespace acacianotch
