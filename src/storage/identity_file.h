/// \file Identity file, which allows a data folder to be used as a replica.
#pragma once

#include "storage/checksummed_file.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// Name of the identity file in the data folder.
inline constexpr std::string_view IdentityName = "identity";

/// Replica that a data folder belongs to.
struct identity {
  std::uint64_t Group = 0;   ///< Id of the replication group, chosen when
                             ///< the group is created.
  std::uint64_t Replica = 0; ///< Replica id; never assigned to another folder.

  auto operator==(const identity &) const -> bool = default;
};

/// \return the content of the identity file for \p Identity.
[[nodiscard]] auto encodeIdentity(const identity &Identity) -> std::string;

/// \return the identity decoded from \p Text; `corrupt_data` if it is not
/// valid.
[[nodiscard]] auto decodeIdentity(const std::string &Text) -> result<identity>;

/// \return the identity of \p Folder; none if it has no identity file, in which
/// case it must not be used as a replica that existed before.
template <file_system files_type>
[[nodiscard]] auto readIdentity(files_type &Files, const std::string &Folder)
    -> result<std::optional<identity>> {
  auto Text = readChecksummedFile(Files, Folder, std::string(IdentityName),
                                  IdentityKind);
  if (!Text)
    return Text.error();
  if (!Text->has_value())
    return std::optional<identity>();
  auto Identity = decodeIdentity(**Text);
  if (!Identity)
    return Identity.error();
  return std::optional(*Identity);
}

/// Durably gives \p Folder another identity, or its first one.
template <file_system files_type>
[[nodiscard]] auto replaceIdentity(files_type &Files, const std::string &Folder,
                                   const identity &Identity) -> result<void> {
  return replaceChecksummedFile(Files, Folder, std::string(IdentityName),
                                IdentityKind, encodeIdentity(Identity));
}

/// Writes the identity file of \p Folder; `bad_settings` if it already has one.
/// The initial snapshot, if any, must be written before, so that a folder with
/// an identity always has it.
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
  return replaceIdentity(Files, Folder, Identity);
}

} // namespace acacianotch
