/// \file Output of acacianotchctl: results and failures as text or JSON.
#include "ctl/report.h"

#include "ctl/entry_file.h"
#include "ctl/print.h"
#include "table/settings.h"

#include <ostream>

namespace acacianotch {

namespace {

auto failureJson(const failure &Failure) -> json {
  const auto &Row = errcRow(Failure.Code);
  return {{"code", std::string(Row.Name)},
          {"message", std::string(Row.Message)},
          {"detail", Failure.Detail},
          {"verdict", std::string(VerdictNames.name(Failure.Verdict))}};
}

/// Prints a reply as tables, with the columns in reading order.
auto printReplyText(std::ostream &Out, ctl_action Action, const json &Reply)
    -> void {
  const auto List = [&](const char *Key) { return memberOf(Reply, Key); };
  switch (Action) {
  case ctl_action::get:
    return printTable(Out, List("entries"),
                      {"kind", "name", "owner", "revision", "body"});
  case ctl_action::history:
    return printTable(Out, List("history"),
                      {"revision", "time_ms", "issuer", "action", "change_id"});
  case ctl_action::rollout_status:
    return printTable(
        Out, List("rollouts"),
        {"id", "model", "from", "to", "state", "stage", "revision", "reason"});
  case ctl_action::log_level:
    return printObject(Out, List("levels"));
  case ctl_action::dump:
    Out << prettyJson(Reply) << '\n';
    return;
  default:
    return printObject(Out, Reply);
  }
}

auto checkSettings(const std::string &File, const ctl_output &Output)
    -> ctl_exit {
  const auto Settings = loadSettings(File);
  if (!Settings)
    return Output.printFailure(Settings.error());
  Output.Out << File << ": valid settings\n";
  return ctl_exit::ok;
}

auto checkEntries(const std::string &File, const ctl_output &Output)
    -> ctl_exit {
  const auto Entries = loadEntries(File);
  if (!Entries)
    return Output.printFailure(Entries.error());
  Output.Out << File << ": " << Entries->size() << " entries\n";
  return ctl_exit::ok;
}

/// Adds a row for each key below \p Prefix that differs.
auto addDifferences(const json &Current, const json &Wanted,
                    const std::string &Prefix, json &Rows) -> void {
  auto Keys = Current;
  Keys.update(Wanted);
  for (const auto &Item : Keys.items()) {
    const auto Old = memberOf(Current, Item.key());
    const auto New = memberOf(Wanted, Item.key());
    if (Old != New)
      Rows.push_back(
          {{"key", Prefix + Item.key()}, {"catalogue", Old}, {"file", New}});
  }
}

} // namespace

auto ctl_output::printFailure(const failure &Failure) const -> ctl_exit {
  if (Json)
    Out << prettyJson({{"error", failureJson(Failure)}}) << '\n';
  else if (Failure.Code == errc::bad_settings)
    Err << Failure.Detail << '\n';
  else
    Err << Failure.text() << '\n';
  return exitForCtl(Failure.Code);
}

auto ctl_output::printChangeFailure(const failure &Failure,
                                    const std::string &ChangeId) const
    -> ctl_exit {
  if (Failure.Verdict == verdict::may_have_run)
    Err << "The change may be in effect. Resend it with --change-id "
        << ChangeId << '\n';
  return printFailure(Failure);
}

auto ctl_output::printOutcome(const json &Outcome,
                              const std::string &ChangeId) const -> ctl_exit {
  json Row{{"change_id", ChangeId},
           {"revision", memberOf(Outcome, "revision")},
           {"detail", memberOf(Outcome, "detail")}};
  if (Json)
    Out << prettyJson({{"change_id", ChangeId}, {"outcome", Outcome}}) << '\n';
  else
    printObject(Out, Row);
  return ctl_exit::ok;
}

auto ctl_output::printReply(const ctl_options &Options, const json &Reply) const
    -> ctl_exit {
  if (Json)
    Out << prettyJson(Reply) << '\n';
  else
    printReplyText(Out, Options.Action, Reply);
  return ctl_exit::ok;
}

auto entryDifferences(const json &Current, const json &Wanted) -> json {
  auto Rows = json::array();
  const auto Owner = [](const json &Entry) {
    return json{{"owner", memberOf(Entry, "owner")}};
  };
  const auto Body = [](const json &Entry) {
    const auto Content = memberOf(Entry, "body");
    return Content.is_object() ? Content : json::object();
  };
  addDifferences(Owner(Current), Owner(Wanted), "", Rows);
  addDifferences(Body(Current), Body(Wanted), "body.", Rows);
  return Rows;
}

auto runLocal(const ctl_options &Options, const ctl_output &Output)
    -> ctl_exit {
  if (Options.Action == ctl_action::completion) {
    Output.Out << bashCompletion();
    return ctl_exit::ok;
  }
  return isEntryFile(Options.File) ? checkEntries(Options.File, Output)
                                   : checkSettings(Options.File, Output);
}

} // namespace acacianotch
