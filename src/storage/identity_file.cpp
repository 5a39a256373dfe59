/// \file JSON encoding of the identity file.
#include "storage/identity_file.h"

#include <nlohmann/json.hpp>

namespace acacianotch {

auto encodeIdentity(const identity &Identity) -> std::string {
  return nlohmann::json{{"group", Identity.Group},
                        {"replica", Identity.Replica}}
      .dump();
}

auto decodeIdentity(const std::string &Text) -> result<identity> {
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  const auto Number = [&](const char *Name) -> std::uint64_t {
    const auto Found = Json.is_object() ? Json.find(Name) : Json.end();
    return Found != Json.end() && Found->is_number_unsigned()
               ? Found->get<std::uint64_t>()
               : 0;
  };
  const identity Identity{Number("group"), Number("replica")};
  if (Identity.Group == 0 || Identity.Replica == 0)
    return failure::of(errc::corrupt_data, "invalid identity file");
  return Identity;
}

} // namespace acacianotch
