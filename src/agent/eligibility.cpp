/// \file Eligibility checks of an agent before it accepts a request.
#include "agent/eligibility.h"

#include <algorithm>

namespace acacianotch {

namespace {

auto checkVersion(const catalogue_view &View, const backend_body &Backend,
                  const eligibility_request &Request, time_point Now)
    -> result<void> {
  const auto &Version = Request.Version;
  if (!View.fresh(Now, Version))
    return failure::of(errc::stale_catalogue);
  if (View.version(Version) == nullptr)
    return failure::of(errc::unknown_model, Version.text());
  if (!View.active(Version))
    return failure::of(errc::version_withdrawn, Version.text());
  const auto Serves =
      std::find(Backend.Versions.begin(), Backend.Versions.end(), Version);
  if (Serves == Backend.Versions.end())
    return failure::of(errc::no_backend,
                       "this backend server does not serve " + Version.text());
  const auto *Account = View.account(Request.Account.Text);
  if (Account == nullptr || !allowed(*Account, Version))
    return failure::of(errc::not_allowed, Version.text());
  return {};
}

auto checkService(const catalogue_view &View, const backend_body &Backend,
                  const eligibility_request &Request, time_point Now)
    -> result<void> {
  if (!View.fresh(Now))
    return failure::of(errc::stale_catalogue);
  if (Backend.Service != Request.Service)
    return failure::of(errc::no_backend,
                       "this backend server does not serve " + Request.Service);
  if (View.account(Request.Account.Text) == nullptr)
    return failure::of(errc::not_allowed);
  return {};
}

auto checkSuspicion(const catalogue_view &View,
                    const eligibility_request &Request) -> result<void> {
  const auto State = View.suspicionOf(Request.Fingerprint);
  if (State == suspicion::quarantined)
    return failure::of(errc::quarantined);
  if (State == suspicion::suspect && !Request.Isolated)
    return failure::of(errc::quarantined, "the request must run in isolation");
  return {};
}

} // namespace

auto checkEligibility(const catalogue_view &View, const agent_state &State,
                      const eligibility_request &Request, time_point Now)
    -> result<void> {
  if (State.ShuttingDown)
    return failure::of(errc::shutting_down);
  if (!View.ready())
    return failure::of(errc::not_ready);
  const auto *Entry = View.find(entry_kind::backend, State.Backend);
  if (Entry == nullptr)
    return failure::of(errc::no_backend, State.Backend + " is not listed");
  const auto &Backend = std::get<backend_body>(Entry->Body);
  if (State.Leaving || Backend.Leaving || View.evacuated(Backend.Zone))
    return failure::of(errc::backend_leaving);
  if (auto Suspicion = checkSuspicion(View, Request); !Suspicion)
    return Suspicion;
  if (Request.Service.empty())
    return checkVersion(View, Backend, Request, Now);
  return checkService(View, Backend, Request, Now);
}

} // namespace acacianotch
