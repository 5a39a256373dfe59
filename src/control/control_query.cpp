/// \file Queries of the command-line client to a control replica.
#include "catalogue/state_fields.h"
#include "control/control_service.h"
#include "node/log_query.h"

namespace acacianotch {

namespace {

auto listEntries(const catalogue_data &Data, const json &Arguments) -> json {
  const auto Kind = Arguments.value("kind", "");
  const auto Name = Arguments.value("name", "");
  json Rows = json::array();
  for (const auto &[Key, Entry] : Data.Entries) {
    const auto KindMatches =
        Kind.empty() || EntryKindNames.name(Key.Kind) == Kind;
    if (KindMatches && (Name.empty() || Key.Name == Name))
      Rows.push_back(writeValue(Entry));
  }
  return {{"revision", static_cast<std::uint64_t>(Data.Revision)},
          {"entries", std::move(Rows)}};
}

auto historyOf(const catalogue_data &Data, const json &Arguments) -> json {
  const entry_key Key{EntryKindNames.find(Arguments.value("kind", ""))
                          .value_or(entry_kind::invalid),
                      Arguments.value("name", "")};
  json Rows = json::array();
  const auto Found = Data.History.find(Key);
  if (Found != Data.History.end())
    for (const auto &Row : Found->second)
      Rows.push_back({{"revision", static_cast<std::uint64_t>(Row.Revision)},
                      {"time_ms", Row.TimeMs},
                      {"issuer", Row.Issuer},
                      {"change_id", Row.ChangeId},
                      {"action", Row.Action}});
  return {{"history", std::move(Rows)}};
}

auto listRollouts(const catalogue_data &Data, const json &Arguments) -> json {
  const auto Model = Arguments.value("model", "");
  json Rows = json::array();
  for (const auto &[Name, Rollout] : Data.Rollouts)
    if (Model.empty() || Model == Name)
      Rows.push_back(writeValue(Rollout));
  return {{"rollouts", std::move(Rows)}};
}

auto nodeRows(const subscriptions &Nodes, revision Current) -> json {
  json Rows = json::array();
  for (const auto &Node : Nodes.nodes())
    Rows.push_back({{"id", Node.Id},
                    {"role", Node.Role},
                    {"zone", Node.Zone},
                    {"revision", static_cast<std::uint64_t>(Node.Acknowledged)},
                    {"current", Node.Acknowledged == Current},
                    {"running", Node.Running},
                    {"queued", Node.Queued}});
  return Rows;
}

auto memberRows(const membership &Members) -> json {
  json Rows = json::array();
  for (const auto &Member : Members.Members)
    Rows.push_back({{"id", static_cast<std::uint64_t>(Member.Id)},
                    {"voter", Member.Voter},
                    {"address", Member.Address}});
  return Rows;
}

auto usageRows(const catalogue_data &Data) -> json {
  json Rows = json::array();
  for (const auto &[Key, Total] : Data.Usage)
    Rows.push_back({{"account", Key.Account},
                    {"month", Key.Month},
                    {"cost", Total.Cost},
                    {"requests", Total.Requests},
                    {"attempts", Total.Attempts},
                    {"input_tokens", Total.InputTokens},
                    {"output_tokens", Total.OutputTokens}});
  return Rows;
}

auto quarantineRows(const catalogue_data &Data) -> json {
  json Rows = json::array();
  for (const auto &[Fingerprint, Record] : Data.Crashes)
    Rows.push_back({{"fingerprint", static_cast<std::uint64_t>(Fingerprint)},
                    {"state", SuspicionNames.name(Record.State)},
                    {"crashes", Record.Crashes}});
  return Rows;
}

auto evacuatedZones(const catalogue_data &Data) -> json {
  json Rows = json::array();
  for (const auto &[Zone, Evacuation] : Data.Evacuations)
    if (Evacuation.Active)
      Rows.push_back({{"zone", Zone}, {"since_ms", Evacuation.ChangedMs}});
  return Rows;
}

auto statusOf(control_service &Service) -> json {
  const auto &Node = Service.replica().node();
  const auto &State = Service.state();
  const auto Revision = State.currentRevision();
  return {{"role", "control"},
          {"replica", static_cast<std::uint64_t>(Node.id())},
          {"leader", Node.role() == raft_role::leader},
          {"leader_address", Service.replica().leaderAddress()},
          {"failed", Node.failed()},
          {"term", Node.term()},
          {"commit_index", Node.commitIndex()},
          {"revision", static_cast<std::uint64_t>(Revision)},
          {"evacuated_zones", evacuatedZones(State.data())},
          {"members", memberRows(Node.members())},
          {"nodes", nodeRows(Service.nodeSubscriptions(), Revision)}};
}

auto dumpOf(control_service &Service) -> json {
  auto Dump = statusOf(Service);
  const auto &Data = Service.state().data();
  Dump["entries"] = Data.Entries.size();
  Dump["claims"] = Data.Claims.size();
  Dump["change_ids"] = Data.Changes.size();
  Dump["usage"] = usageRows(Data);
  Dump["quarantine"] = quarantineRows(Data);
  Dump["rollouts"] = listRollouts(Data, json::object())["rollouts"];
  Dump["counters"] = {{"proposed", Service.counters().Proposed},
                      {"committed", Service.counters().Committed},
                      {"refused", Service.counters().Refused}};
  return Dump;
}

auto changeMembership(control_service &Service, std::string_view Action,
                      const json &Arguments) -> result<json> {
  const replica_id Id{Arguments.value("id", std::uint64_t{0})};
  const auto Changed =
      Service.changeMembers(Action, Id, Arguments.value("address", ""));
  if (!Changed)
    return Changed.error();
  return json{{"accepted", true}};
}

} // namespace

auto control_service::query(std::string_view What, const json &Arguments)
    -> result<json> {
  if (!Arguments.is_object())
    return failure::of(errc::bad_request, "arguments must be a JSON object");
  try {
    if (What == "entries")
      return listEntries(State.data(), Arguments);
    if (What == "history")
      return historyOf(State.data(), Arguments);
    if (What == "rollouts")
      return listRollouts(State.data(), Arguments);
    if (What == "status")
      return statusOf(*this);
    if (What == "dump")
      return dumpOf(*this);
    if (What == "log_level")
      return queryLogLevel(Arguments);
    if (What.find("_replica") != std::string_view::npos)
      return changeMembership(*this, What, Arguments);
  } catch (const json::exception &Error) {
    return failure::of(errc::bad_request, Error.what());
  }
  return failure::of(errc::bad_request, "unknown query " + std::string(What));
}

} // namespace acacianotch
