/// \file Starts the role that the settings select.
#include "daemon/role.h"

#include "agent/agent_role.h"
#include "control/control_role.h"
#include "entry/entry_role.h"
#include "gateway/gateway_role.h"

namespace acacianotch {

auto runRole(const settings &Settings) -> result<void> {
  switch (Settings.Role) {
  case process_role::entry:
    return runEntry(Settings);
  case process_role::agent:
    return runAgent(Settings);
  case process_role::control:
    return runControl(Settings);
  case process_role::gateway:
    return runGateway(Settings);
  case process_role::invalid:
    break;
  }
  return failure::of(errc::bad_settings, "the role is not set");
}

} // namespace acacianotch
