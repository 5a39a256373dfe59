/// \file Connection of acacianotchctl to control or to one process.
#pragma once

#include "ctl/client_type.h"
#include "ctl/options.h"

namespace acacianotch {

/// Sends commands and queries to the addresses in the options.
class ctl_connection {
public:
  explicit ctl_connection(const ctl_options &Options);

  [[nodiscard]] auto execute(const json &Command) -> result<json>;
  [[nodiscard]] auto query(std::string_view What, const json &Arguments)
      -> result<json>;
};

static_assert(control_client<ctl_connection>);

} // namespace acacianotch
