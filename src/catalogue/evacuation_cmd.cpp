/// \file Commands that start and end evacuations of availability zones.
#include "catalogue/command_func.h"

namespace acacianotch {

namespace {

/// Bounds the evacuations that are kept, of which each node holds a copy. Four
/// times the availability zones of the largest planned deployment.
constexpr std::size_t MaxEvacuations = 128;

/// Evacuates a zone or ends its evacuation. A repeated order changes nothing
/// and is accepted, because its first acknowledgement may have been lost.
auto setEvacuation(catalogue_data &Data, command_context &Context,
                   const std::string &Zone, bool Active) -> command_result {
  const auto Place = Data.Evacuations.find(Zone);
  const auto Known = Place != Data.Evacuations.end();
  if ((Known && Place->second.Active) == Active)
    return command_result::of(errc::ok, "unchanged");
  if (!Known && Data.Evacuations.size() >= MaxEvacuations)
    return command_result::of(errc::bad_request, "too many availability zones");
  if (Context.DryRun)
    return {};
  auto &Evacuation = Data.Evacuations[Zone];
  Evacuation = {Zone, Active, Context.NowMs};
  Context.Changed.push_back(std::string(EvacuationPrefix) + Zone);
  return command_result::of(errc::ok, "stored", writeValue(Evacuation));
}

} // namespace

auto execute(catalogue_data &Data, command_context &Context,
             const evacuate_zone &Body) -> command_result {
  return setEvacuation(Data, Context, Body.Zone, true);
}

auto execute(catalogue_data &Data, command_context &Context,
             const end_evacuation &Body) -> command_result {
  return setEvacuation(Data, Context, Body.Zone, false);
}

} // namespace acacianotch
