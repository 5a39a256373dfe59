/// \file Checks that an agent makes before it takes work.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"

#include <string>

namespace acacianotch {

/// What the checks need to know about one attempt.
struct gate_request {
  account_id Account;
  version_ref Version; ///< Empty model for a plain service.
  std::string Service; ///< Empty for a model.
  fingerprint Fingerprint = fingerprint::none;
  bool Isolated = false;
};

/// The agent's own state.
struct gate_state {
  std::string Backend; ///< Name of its backend server.
  bool Leaving = false;
  bool ShuttingDown = false;
};

/// \return success if the backend server may run the request under this view;
/// otherwise why not, always with the verdict `not_run`.
[[nodiscard]] auto checkGate(const catalogue_view &View,
                             const gate_state &State,
                             const gate_request &Request, time_point Now)
    -> result<void>;

} // namespace acacianotch
