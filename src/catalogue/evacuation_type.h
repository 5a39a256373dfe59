/// \file Evacuations of availability zones, as replicated and spread.
#pragma once

#include "catalogue/field_table.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// Prefix of the keys of evacuations among the shared values.
inline constexpr std::string_view EvacuationPrefix = "evacuation/";

/// The last evacuation of one availability zone. An ended one stays, so that a
/// node that missed it learns that the backend servers of the zone were idle.
struct zone_evacuation {
  std::string Zone;
  bool Active = false;         ///< Its backend servers get no new work.
  std::uint64_t ChangedMs = 0; ///< Log time of the start or of the end.

  auto operator==(const zone_evacuation &) const -> bool = default;
};

/// \return the number of evacuated zones in a map by zone.
[[nodiscard]] auto countEvacuated(const auto &Evacuations) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Evacuations.begin(), Evacuations.end(),
                    [](const auto &Row) { return Row.second.Active; }));
}

template <> struct field_table<zone_evacuation> {
  using body = zone_evacuation;
  static constexpr auto Fields = std::tuple{
      required("zone", &body::Zone, {1, 128}, "availability zone"),
      required("active", &body::Active, {}, "no new work goes there"),
      required("changed_ms", &body::ChangedMs, {}, "log time of the change"),
  };
};

} // namespace acacianotch
