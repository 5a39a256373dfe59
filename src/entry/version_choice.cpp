/// \file Selection of the version that runs a chat request.
#include "entry/version_choice.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Splits `model@version`; the version is empty if \p Name has no `@`.
auto splitName(const std::string &Name) -> version_ref {
  const auto Separator = Name.find('@');
  if (Separator == std::string::npos)
    return {Name, ""};
  return {Name.substr(0, Separator), Name.substr(Separator + 1)};
}

auto modelsOf(const catalogue_view &View, const std::string &Name)
    -> std::vector<std::string> {
  if (const auto *Route = View.route(Name))
    return Route->Candidates;
  return {Name};
}

/// Selects a version of \p Model by \p Hash, in proportion to the shares, among
/// those that the account may use.
auto pickVersion(const catalogue_view &View, const account_body &Account,
                 const std::string &Model, std::uint64_t Hash)
    -> std::optional<version_ref> {
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  std::vector<version_share> Usable;
  double Total = 0;
  for (const auto &Share : View.shares(Model)) {
    if (!allowed(Account, Share.Version))
      continue;
    Usable.push_back(Share);
    Total += Share.Share;
  }
  if (Usable.empty())
    return std::nullopt;
  auto Point = static_cast<double>(Hash) / HashRange * Total;
  for (const auto &Share : Usable) {
    Point -= Share.Share;
    if (Point < 0)
      return Share.Version;
  }
  return Usable.front().Version;
}

auto resolutionFailure(const catalogue_view &View, const account_body &Account,
                       const std::string &Name) -> failure {
  bool Known = false;
  bool Permitted = false;
  for (const auto &Model : modelsOf(View, Name))
    for (const auto *Entry : View.versions(Model)) {
      Known = true;
      const auto &Body = std::get<version_body>(Entry->Body);
      Permitted = Permitted || allowed(Account, Body.ref());
    }
  if (!Known)
    return failure::of(errc::unknown_model, Name);
  return failure::of(Permitted ? errc::version_withdrawn : errc::not_allowed,
                     Name);
}

} // namespace

auto checkVersion(const catalogue_view &View, const account_body &Account,
                  const version_ref &Version) -> result<void> {
  if (View.version(Version) == nullptr)
    return failure::of(errc::unknown_model, Version.text());
  if (!allowed(Account, Version))
    return failure::of(errc::not_allowed, Version.text());
  if (!View.active(Version))
    return failure::of(errc::version_withdrawn, Version.text());
  return {};
}

auto mayResolveTo(const catalogue_view &View, const std::string &Name,
                  const version_ref &Version) -> bool {
  if (Name == Version.text())
    return true;
  const auto Models = modelsOf(View, Name);
  return std::find(Models.begin(), Models.end(), Version.Model) != Models.end();
}

auto resolveModel(const catalogue_view &View, const account_body &Account,
                  const std::string &Name, std::uint64_t Hash)
    -> result<model_choice> {
  model_choice Choice;
  if (const auto Exact = splitName(Name); !Exact.Version.empty()) {
    if (auto Checked = checkVersion(View, Account, Exact); !Checked)
      return Checked.error();
    Choice.Candidates.push_back(Exact);
    return Choice;
  }
  if (const auto *Route = View.route(Name)) {
    Choice.Class = Route->Class;
    Choice.QualityTarget = Route->QualityTarget;
  }
  for (const auto &Model : modelsOf(View, Name))
    if (auto Version = pickVersion(View, Account, Model, Hash))
      Choice.Candidates.push_back(std::move(*Version));
  if (Choice.Candidates.empty())
    return resolutionFailure(View, Account, Name);
  return Choice;
}

} // namespace acacianotch
