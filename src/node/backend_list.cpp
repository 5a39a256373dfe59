/// \file The platform's list of backend servers between processes.
#include "node/backend_list.h"

#include "core/log_func.h"
#include "net/kj_func.h"

namespace acacianotch {

auto backend_list::take(std::vector<backend_record> Read, time_point Now)
    -> bool {
  ReadAt = Now;
  for (auto &Row : Read)
    Row.Warmup = duration::zero();
  if (Number != 0 && Read == Rows)
    return false;
  Rows = std::move(Read);
  ++Number;
  return true;
}

auto writeBackends(wire::BackendList::Builder Out, const backend_list &List,
                   bool WithRows, time_point Now) -> void {
  Out.setAgeMs(static_cast<std::uint32_t>((Now - List.ReadAt) /
                                          std::chrono::milliseconds(1)));
  Out.setHasRows(WithRows);
  if (!WithRows)
    return;
  auto Rows = Out.initRows(static_cast<unsigned>(List.Rows.size()));
  for (unsigned Index = 0; Index < Rows.size(); ++Index) {
    const auto &Row = List.Rows[Index];
    auto Each = Rows[Index];
    Each.setId(Row.Id.c_str());
    Each.setService(Row.Service.c_str());
    Each.setAddress(Row.Address.text().c_str());
    Each.setZone(Row.Zone.c_str());
    Each.setVersion(Row.Version.c_str());
    Each.setSlots(Row.Slots);
    Each.setLeaving(Row.Leaving);
    Each.setStartedMs(Row.StartedMs);
  }
}

auto readBackends(wire::BackendList::Reader In) -> std::vector<backend_record> {
  std::vector<backend_record> Rows;
  for (const auto Each : In.getRows()) {
    const auto Address = parseAddress(toString(Each.getAddress()));
    if (!Address) {
      logWarning(log_category::placement, "skipped a backend server's address",
                 {{"backend", toString(Each.getId())}});
      continue;
    }
    backend_record Row;
    Row.Id = toString(Each.getId());
    Row.Service = toString(Each.getService());
    Row.Address = *Address;
    Row.Zone = toString(Each.getZone());
    Row.Version = toString(Each.getVersion());
    Row.Slots = Each.getSlots();
    Row.Leaving = Each.getLeaving();
    Row.StartedMs = Each.getStartedMs();
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

} // namespace acacianotch
