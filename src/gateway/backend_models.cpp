/// \file Backend servers that reject requests as misdirected: replaced ones,
/// and those that do not run a model.
#include "gateway/backend_directory.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// At most one in this many servers of a pool is suspended as replaced: an
/// answer that is misread must not take all of them away.
constexpr std::size_t DisplacedDivisor = 2;

} // namespace

auto backend_directory::recordMisdirected(backend_handle Handle,
                                          const std::string &Model,
                                          bool MayLackModel) -> misdirection {
  auto *Backend = find(Handle);
  if (Backend == nullptr)
    return misdirection::replaced;
  const auto Now = steady_clock::now();
  const auto RunElsewhere = hasRunModel(Backend->Record.Service, Model);
  const auto Reason =
      Backend->Models.recordMisdirected(Model, MayLackModel, RunElsewhere, Now);
  logInfo(log_category::placement,
          Reason == misdirection::replaced
              ? "another backend server seems to have replaced this one"
              : "backend server does not run a model",
          {{"backend", Backend->Record.Id},
           {"service", Backend->Record.Service},
           {"model", Model}});
  if (Reason == misdirection::replaced)
    suspendDisplaced(*Backend);
  else
    ModelsMissingUntil =
        std::max(ModelsMissingUntil, Backend->Models.missingUntil(Model));
  return Reason;
}

// The list shows a replaced server later, and another one may have sent the
// answer by mistake, so that the suspension ends by itself.
auto backend_directory::suspendDisplaced(known_backend &Backend) -> void {
  if (Backend.Suspended)
    return;
  const auto *Pool = pool(Backend.Record.Service, armOf(Backend));
  if (Pool == nullptr)
    return;
  const auto Displaced = std::count_if(
      Pool->Members.begin(), Pool->Members.end(),
      [this](backend_handle Member) { return ByHandle.at(Member)->Displaced; });
  const auto Allowed = Pool->Members.size() / DisplacedDivisor;
  if (static_cast<std::size_t>(Displaced) >= Allowed)
    return;
  suspend(Backend.Handle);
  Backend.Displaced = true;
}

auto backend_directory::recordAccepted(backend_handle Handle,
                                       const std::string &Model) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr)
    return;
  Backend->Models.recordAccepted(Model);
  if (Backend->Displaced)
    endSuspension(*Backend);
}

auto backend_directory::membersWithoutModel(const backend_pool &Pool,
                                            const std::string &Model) const
    -> std::vector<backend_handle> {
  std::vector<backend_handle> Without;
  const auto Now = steady_clock::now();
  if (Now >= ModelsMissingUntil)
    return Without;
  for (const auto Handle : Pool.Members)
    if (!ByHandle.at(Handle)->Models.mayRun(Model, Now))
      Without.push_back(Handle);
  return Without;
}

auto backend_directory::membersOf(const std::string &Service) const
    -> std::vector<const known_backend *> {
  std::vector<const known_backend *> Members;
  for (const auto Arm : {version_arm::serving, version_arm::candidate})
    if (const auto Found = Pools.find(armKey(Service, Arm));
        Found != Pools.end())
      for (const auto Handle : Found->second->Members)
        if (const auto *Backend = ByHandle.at(Handle); !Backend->Record.Leaving)
          Members.push_back(Backend);
  return Members;
}

auto backend_directory::mayRunModel(const std::string &Service,
                                    const std::string &Model) const -> bool {
  const auto Now = steady_clock::now();
  if (Now >= ModelsMissingUntil)
    return true;
  const auto Members = membersOf(Service);
  return Members.empty() ||
         std::any_of(Members.begin(), Members.end(), [&](const auto *Member) {
           return Member->Models.mayRun(Model, Now);
         });
}

auto backend_directory::hasRunModel(const std::string &Service,
                                    const std::string &Model) const -> bool {
  const auto Members = membersOf(Service);
  return std::any_of(Members.begin(), Members.end(), [&](const auto *Member) {
    return Member->Models.accepted(Model);
  });
}

} // namespace acacianotch
