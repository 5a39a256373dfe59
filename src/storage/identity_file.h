/// \file Identity file: the right of a data folder to act as a replica.
#pragma once

#include "storage/checked_file.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// Name of the identity file in the data folder.
inline constexpr std::string_view IdentityName = "identity";

/// Who a data folder belongs to.
struct identity {
  std::uint64_t Group = 0;   ///< Replication group, chosen when it starts.
  std::uint64_t Replica = 0; ///< Replica id; never given to another folder.

  auto operator==(const identity &) const -> bool = default;
};

/// \return the content of the identity file for \p Identity.
[[nodiscard]] auto encodeIdentity(const identity &Identity) -> std::string;

/// \return the identity in \p Text; `corrupt_data` for anything else.
[[nodiscard]] auto decodeIdentity(const std::string &Text) -> result<identity>;

/// \return the identity of \p Folder; none if it has no identity file, in
/// which case the folder must not act as any replica that existed before.
template <file_system files_type>
[[nodiscard]] auto readIdentity(files_type &Files, const std::string &Folder)
    -> result<std::optional<identity>> {
  auto Text =
      readChecked(Files, Folder, std::string(IdentityName), IdentityKind);
  if (!Text)
    return Text.error();
  if (!Text->has_value())
    return std::optional<identity>();
  auto Identity = decodeIdentity(**Text);
  if (!Identity)
    return Identity.error();
  return std::optional(*Identity);
}

/// Gives \p Folder an identity, once: `bad_settings` if it has one. The first
/// snapshot, if any, is written before, so that an identity implies it.
template <file_system files_type>
[[nodiscard]] auto createIdentity(files_type &Files, const std::string &Folder,
                                  const identity &Identity) -> result<void> {
  auto Present = readIdentity(Files, Folder);
  if (!Present)
    return Present.error();
  if (Present->has_value())
    return failure::of(errc::bad_settings,
                       Folder + " already belongs to replica " +
                           std::to_string((*Present)->Replica));
  return writeChecked(Files, Folder, std::string(IdentityName), IdentityKind,
                      encodeIdentity(Identity));
}

} // namespace acacianotch
