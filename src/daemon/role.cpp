/// \file Entry point of the roles.
#include "daemon/role.h"

namespace acacianotch {

auto runRole(const settings &Settings) -> result<void> {
  const std::string Role(ProcessRoleNames.name(Settings.Role));
  return failure::of(errc::not_ready,
                     "the role " + Role + " is not implemented");
}

} // namespace acacianotch
