/// \file Connection of acacianotchctl to control or to one process.
#pragma once

#include "ctl/client_type.h"
#include "ctl/options.h"

#include <memory>

namespace acacianotch {

/// Sends commands and queries to the addresses in the options.
class ctl_connection {
public:
  explicit ctl_connection(const ctl_options &Options);
  ~ctl_connection();
  ctl_connection(const ctl_connection &) = delete;
  auto operator=(const ctl_connection &) -> ctl_connection & = delete;

  /// Sends \p Command to the leader. \return `{revision, detail, payload}`.
  [[nodiscard]] auto execute(const json &Command) -> result<json>;

  /// Queries the process at the admin address in the options, or the leader of
  /// control.
  [[nodiscard]] auto query(std::string_view Name, const json &Arguments)
      -> result<json>;

private:
  struct state;

  /// Creates the event loop and the leader client on first use.
  auto ensureState() -> result<void>;
  auto queryProcess(const address &Address, std::string_view Name,
                    const json &Arguments) -> result<json>;

  ctl_options Options;
  std::unique_ptr<state> State;
};

static_assert(control_client<ctl_connection>);

} // namespace acacianotch
