/// \file Route and client account look-up in a routing table.
#include "routing/routing_type.h"

#include <algorithm>
#include <cctype>

namespace acacianotch {

namespace {

auto sameHost(std::string_view RouteHost, std::string_view HostHeader) -> bool {
  const auto Colon = HostHeader.find(':');
  const auto Name = HostHeader.substr(0, Colon);
  return std::equal(RouteHost.begin(), RouteHost.end(), Name.begin(),
                    Name.end(), [](unsigned char Left, unsigned char Right) {
                      return Left == std::tolower(Right);
                    });
}

} // namespace

auto routing_table::match(std::string_view Host, std::string_view Path) const
    -> const gateway_route * {
  const gateway_route *Best = nullptr;
  for (const auto &Route : Routes) {
    const auto Longer =
        Best == nullptr || Route.PathPrefix.size() > Best->PathPrefix.size();
    if (Longer && Path.starts_with(Route.PathPrefix) &&
        sameHost(Route.Host, Host))
      Best = &Route;
  }
  return Best;
}

auto routing_table::accountOf(std::string_view Key) const
    -> const gateway_account * {
  const auto Found = AccountsByKey.find(Key);
  return Found == AccountsByKey.end() ? nullptr : &Found->second;
}

} // namespace acacianotch
