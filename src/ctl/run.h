/// \file Runs the actions of acacianotchctl over any transport.
#pragma once

#include "ctl/change.h"
#include "ctl/client_type.h"
#include "ctl/entry_file.h"
#include "ctl/print.h"
#include "ctl/report.h"

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace acacianotch {

/// Runs the action of one command line over a client.
template <control_client client> class ctl_runner {
public:
  ctl_runner(client &TheClient, ctl_options TheOptions,
             change_identity TheIdentity, ctl_output TheOutput)
      : Client(TheClient), Options(std::move(TheOptions)),
        Identity(std::move(TheIdentity)), Output(TheOutput) {}

  /// \return the exit code of the process.
  [[nodiscard]] auto run() -> ctl_exit {
    switch (Options.Action) {
    case ctl_action::apply:
      return apply();
    case ctl_action::diff:
      return diff();
    case ctl_action::get:
      return query(query_name::Entries,
                   parseEntryName(Options.Target).arguments());
    case ctl_action::history:
      return query(query_name::History,
                   parseEntryName(Options.Target).arguments());
    case ctl_action::rollout_status:
      return query(query_name::Rollouts,
                   optionalArgument("model", Options.Model));
    case ctl_action::status:
      return query(query_name::Status, json::object());
    case ctl_action::dump:
      return query(query_name::Dump, json::object());
    case ctl_action::log_level:
      return query(query_name::LogLevel, logLevelArguments());
    case ctl_action::replica_add:
      return query(query_name::AddReplica,
                   {{"id", Options.ReplicaId}, {"address", Options.Address}});
    case ctl_action::replica_promote:
      return query(query_name::PromoteReplica, {{"id", Options.ReplicaId}});
    case ctl_action::replica_remove:
      return query(query_name::RemoveReplica, {{"id", Options.ReplicaId}});
    default:
      return Options.needsClient() ? change() : runLocal(Options, Output);
    }
  }

private:
  static auto optionalArgument(const char *Key, const std::string &Value)
      -> json {
    return Value.empty() ? json::object() : json{{Key, Value}};
  }

  auto logLevelArguments() -> json {
    auto Arguments = optionalArgument("level", Options.Level);
    if (!Options.Category.empty() && Options.Category != "all")
      Arguments["category"] = Options.Category;
    return Arguments;
  }

  auto query(std::string_view Name, const json &Arguments) -> ctl_exit {
    const auto Reply = requireObject(Client.query(Name, Arguments));
    return Reply ? Output.printReply(Options, *Reply)
                 : Output.printFailure(Reply.error());
  }

  auto change() -> ctl_exit {
    const auto Command = changeFor(Options, Identity);
    if (!Command) {
      const auto IsUsage = Command.error().Code == errc::bad_request;
      const auto Code = Output.printFailure(Command.error());
      return IsUsage ? ctl_exit::usage : Code;
    }
    const auto Outcome = requireObject(Client.execute(*Command));
    return Outcome ? Output.printOutcome(*Outcome, Identity.Id)
                   : Output.printChangeFailure(Outcome.error(), Identity.Id);
  }

  /// \return the entry in the catalogue, or null if there is none.
  auto currentEntry(const file_entry &Entry) -> result<json> {
    auto Arguments =
        json{{"kind", Entry.Entry["kind"]}, {"name", Entry.Entry["name"]}};
    auto Reply = requireObject(Client.query(query_name::Entries, Arguments));
    if (!Reply && Reply.error().Code == errc::unknown_entry)
      return json();
    if (!Reply)
      return Reply;
    const auto List = memberOf(*Reply, "entries");
    if (!List.is_array() || List.empty())
      return json();
    return requireObject(List.front());
  }

  auto apply() -> ctl_exit {
    const auto Entries = loadEntries(Options.File);
    if (!Entries)
      return Output.printFailure(Entries.error());
    auto Rows = json::array();
    auto Code = ctl_exit::ok;
    for (std::size_t Index = 0; Index < Entries->size(); ++Index) {
      Code = applyEntry((*Entries)[Index], Index, Rows);
      // Later entries may refer to this one, so the first failure stops.
      if (Code != ctl_exit::ok)
        break;
    }
    printApplyResult(Rows, Entries->size());
    return Code;
  }

  auto applyEntry(const file_entry &Entry, std::size_t Index, json &Rows)
      -> ctl_exit {
    auto Expected = result<std::uint64_t>(Entry.Revision);
    if (Options.Overwrite && Entry.Revision == 0)
      Expected = currentRevision(Entry);
    if (!Expected)
      return Output.printFailure(Expected.error());
    json Body{{"entry", Entry.Entry},
              {"expected", *Expected},
              {"reinstate", Entry.Reinstate}};
    const auto Outcome = requireObject(Client.execute(commandJson(
        identityForEntry(Identity, Index), "put_entry", std::move(Body))));
    if (!Outcome)
      return handleApplyFailure(Entry, Outcome.error(), Rows);
    const auto Detail = memberOf(*Outcome, "detail");
    const auto HasNoDetail = !Detail.is_string() || Detail == "";
    addRow(Rows, Entry, HasNoDetail ? json("applied") : Detail,
           memberOf(*Outcome, "revision"));
    return ctl_exit::ok;
  }

  auto currentRevision(const file_entry &Entry) -> result<std::uint64_t> {
    const auto Found = currentEntry(Entry);
    if (!Found)
      return Found.error();
    return revisionOf(*Found);
  }

  /// Handles a refused entry. A revision conflict with an entry that already
  /// has the content of the file counts as success, so that a file can be
  /// applied again.
  auto handleApplyFailure(const file_entry &Entry, const failure &Failure,
                          json &Rows) -> ctl_exit {
    if (Failure.Code != errc::revision_conflict)
      return Output.printChangeFailure(Failure, Identity.Id);
    const auto Found = currentEntry(Entry);
    if (!Found || Found->is_null())
      return Output.printFailure(Failure);
    const auto Differences = entryDifferences(*Found, Entry.Entry);
    const auto Revision = memberOf(*Found, "revision");
    if (Differences.empty()) {
      addRow(Rows, Entry, "unchanged", Revision);
      return ctl_exit::ok;
    }
    addRow(Rows, Entry, "conflict", Revision);
    Output.Err << Entry.key() << " has revision " << Revision
               << " with other content:\n";
    printTable(Output.Err, Differences, {"key", "catalogue", "file"});
    return Output.printFailure(Failure);
  }

  static auto addRow(json &Rows, const file_entry &Entry, const json &Result,
                     const json &Revision) -> void {
    Rows.push_back(
        {{"entry", Entry.key()}, {"result", Result}, {"revision", Revision}});
  }

  auto printApplyResult(const json &Rows, std::size_t Total) -> void {
    if (Output.Json) {
      Output.Out << prettyJson({{"change_id", Identity.Id},
                                {"applied", Rows},
                                {"total", Total}})
                 << '\n';
      return;
    }
    printTable(Output.Out, Rows, {"entry", "result", "revision"});
    Output.Out << "change id " << Identity.Id << ", " << Rows.size() << " of "
               << Total << " entries\n";
  }

  auto diff() -> ctl_exit {
    const auto Entries = loadEntries(Options.File);
    if (!Entries)
      return Output.printFailure(Entries.error());
    auto Rows = json::array();
    for (const auto &Entry : *Entries) {
      const auto Found = currentEntry(Entry);
      if (!Found)
        return Output.printFailure(Found.error());
      const auto Current = Found->is_null() ? json::object() : *Found;
      for (auto Row : entryDifferences(Current, Entry.Entry)) {
        Row["entry"] = Entry.key();
        Rows.push_back(std::move(Row));
      }
    }
    if (Output.Json)
      Output.Out << prettyJson({{"differences", Rows}}) << '\n';
    else
      printTable(Output.Out, Rows, {"entry", "key", "catalogue", "file"});
    return ctl_exit::ok;
  }

  client &Client;
  ctl_options Options;
  change_identity Identity;
  ctl_output Output;
};

} // namespace acacianotch
