/// \file Eligibility checks of an agent before it accepts a request.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"

#include <string>

namespace acacianotch {

/// Fields of a request that the eligibility checks read.
struct eligibility_request {
  account_id Account;
  version_ref Version; ///< The model is empty for a service.
  std::string Service; ///< Empty for a request to a model.
  fingerprint Fingerprint = fingerprint::none;
  bool Isolated = false;
};

/// State of the agent that the eligibility checks read.
struct agent_state {
  std::string Backend; ///< Name of the backend server.
  bool Leaving = false;
  bool ShuttingDown = false;
};

/// \return success if the backend server may run the request according to
/// \p View; otherwise the reason, always with the verdict `not_run`.
[[nodiscard]] auto checkEligibility(const catalogue_view &View,
                                    const agent_state &State,
                                    const eligibility_request &Request,
                                    time_point Now) -> result<void>;

} // namespace acacianotch
