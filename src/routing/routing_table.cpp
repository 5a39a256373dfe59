/// \file Route and client account look-up in a routing table.
#include "routing/routing_type.h"

#include "core/text_func.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

auto routing_table::addRoute(std::shared_ptr<const gateway_route> Route)
    -> bool {
  MaxPrefixLength = std::max(MaxPrefixLength, Route->PathPrefix.size());
  // A host contains no slash and a prefix begins with one.
  auto Key = Route->Host + Route->PathPrefix;
  return Routes.emplace(std::move(Key), std::move(Route)).second;
}

// Prefixes end with a slash, so only the beginnings of the path that do are
// looked up.
auto routing_table::match(std::string_view Host, std::string_view Path) const
    -> const gateway_route * {
  auto Key = lowerCase(Host.substr(0, Host.find(':')));
  const auto HostLength = Key.size();
  Key += Path.substr(0, MaxPrefixLength);
  while (true) {
    const auto Slash = Key.rfind('/');
    if (Slash == std::string::npos || Slash < HostLength)
      return nullptr;
    Key.resize(Slash + 1);
    const auto Found = Routes.find(Key);
    if (Found != Routes.end())
      return Found->second.get();
    Key.resize(Slash);
  }
}

auto routing_table::accountOf(std::string_view Key) const
    -> const gateway_account * {
  const auto Found = AccountsByKey.find(Key);
  return Found == AccountsByKey.end() ? nullptr : &Found->second;
}

} // namespace acacianotch
