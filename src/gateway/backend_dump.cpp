/// \file Backend servers in the state dump of a gateway.
#include "gateway/backend_dump.h"

namespace acacianotch {

auto dumpBackends(const backend_directory &Directory) -> json {
  json Rows = json::array();
  const auto Now = steady_clock::now();
  const auto &Intake = Directory.intake();
  const auto Milliseconds = [](const std::optional<duration> &Time) -> json {
    return Time ? json(*Time / std::chrono::milliseconds(1)) : json();
  };
  for (const auto &[Id, Backend] : Directory.backends()) {
    const auto *Row = Directory.board().row(Backend->Handle);
    const auto Instance = Backend->instance();
    Rows.push_back(
        {{"id", Id},
         {"service", Backend->Record.Service},
         {"address", Backend->Record.Address.text()},
         {"version", Backend->Record.Version},
         {"zone", Backend->Record.Zone},
         {"evacuated", Directory.evacuated(Backend->Record.Zone)},
         {"cold", Directory.coldLimiter().cold(Backend->Key, Now)},
         {"cold_share", Directory.coldLimiter().shareOf(Backend->Key, Now)},
         {"leaving", Backend->Record.Leaving},
         {"suspended", Backend->Suspended},
         {"displaced", Backend->Displaced},
         {"intake", IntakeStateNames.name(Intake.state(Instance, Now))},
         {"statement_age_ms", Milliseconds(Intake.statementAge(Instance, Now))},
         {"pause_left_ms", Milliseconds(Intake.pauseLeft(Instance, Now))},
         {"in_flight", Row == nullptr ? 0 : Row->InFlight},
         {"others", Row == nullptr ? 0 : Row->OtherLoad}});
  }
  return Rows;
}

} // namespace acacianotch
