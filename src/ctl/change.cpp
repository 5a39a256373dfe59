/// \file Commands that acacianotchctl sends.
#include "ctl/change.h"

#include <CLI/CLI.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

namespace acacianotch {

namespace {

constexpr std::size_t TimeDigits = 12;
constexpr std::size_t RandomDigits = 16;
constexpr double MillisPerSecond = 1000;

auto malformedArgument(const std::string &Text, const std::string &Expected)
    -> failure {
  return failure::of(errc::bad_request, "'" + Text + "' is not " + Expected);
}

template <typename type>
auto parseNumber(std::string_view Text, auto... Base) -> std::optional<type> {
  type Value{};
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, Base...);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

/// \return the time in a change id of makeChangeId(); nothing for another
/// format.
auto changeIdTime(std::string_view Id) -> std::optional<std::uint64_t> {
  if (Id.size() != TimeDigits + 1 + RandomDigits || Id[TimeDigits] != '-')
    return std::nullopt;
  return parseNumber<std::uint64_t>(Id.substr(0, TimeDigits), 16);
}

/// Reads `SHARE[:REQUESTS[:SECONDS]]`.
auto parseStage(const std::string &Text) -> result<json> {
  const auto Malformed = malformedArgument(Text, "SHARE[:REQUESTS[:SECONDS]]");
  const auto Parts = CLI::detail::split(Text, ':');
  if (Parts.empty() || Parts.size() > 3)
    return Malformed;
  const auto Share = parseNumber<double>(Parts[0]);
  if (!Share || !(*Share >= 0 && *Share <= 1))
    return Malformed;
  json Stage{{"share", *Share}};
  if (Parts.size() > 1) {
    const auto Requests = parseNumber<std::uint64_t>(Parts[1]);
    if (!Requests)
      return Malformed;
    Stage["min_requests"] = *Requests;
  }
  if (Parts.size() > 2) {
    const auto Seconds = parseNumber<double>(Parts[2]);
    constexpr double MaxSeconds = 1e6;
    if (!Seconds || !(*Seconds >= 0 && *Seconds <= MaxSeconds))
      return Malformed;
    Stage["min_duration_ms"] =
        static_cast<std::uint64_t>(*Seconds * MillisPerSecond);
  }
  return Stage;
}

auto startRolloutBody(const ctl_options &Options) -> result<json> {
  auto Stages = json::array();
  for (const auto &Text : Options.Stages) {
    auto Stage = parseStage(Text);
    if (!Stage)
      return Stage.error();
    Stages.push_back(std::move(*Stage));
  }
  return json{{"model", Options.Model},
              {"from", Options.From},
              {"to", Options.To},
              {"stages", std::move(Stages)}};
}

auto rolloutStateBody(const ctl_options &Options, std::string_view State)
    -> json {
  json Body{{"id", Options.Target},
            {"state", std::string(State)},
            {"reason", Options.Reason}};
  if (Options.Revision != 0)
    Body["expected"] = Options.Revision;
  return Body;
}

auto removeEntryBody(const ctl_options &Options) -> result<json> {
  const auto Entry = parseEntryName(Options.Target);
  if (Entry.Name.empty())
    return malformedArgument(Options.Target, "KIND/NAME");
  auto Body = Entry.arguments();
  Body["expected"] = Options.Revision;
  return Body;
}

auto withdrawVersionBody(const ctl_options &Options) -> result<json> {
  const auto At = Options.Target.find('@');
  if (At == std::string::npos || At == 0 || At + 1 == Options.Target.size())
    return malformedArgument(Options.Target, "MODEL@VERSION");
  return json{{"version", Options.Target}, {"reason", Options.Reason}};
}

auto liftQuarantineBody(const ctl_options &Options) -> result<json> {
  const auto Number = parseNumber<std::uint64_t>(Options.Target);
  if (!Number)
    return malformedArgument(Options.Target,
                             "a fingerprint (a decimal number)");
  return json{{"fingerprint", *Number}, {"reason", Options.Reason}};
}

/// \return name and body of the command for the action.
auto commandNameAndBody(const ctl_options &Options)
    -> std::pair<std::string_view, result<json>> {
  switch (Options.Action) {
  case ctl_action::remove:
    return {"remove_entry", removeEntryBody(Options)};
  case ctl_action::withdraw:
    return {"withdraw_version", withdrawVersionBody(Options)};
  case ctl_action::rollout_start:
    return {"start_rollout", startRolloutBody(Options)};
  case ctl_action::rollout_pause:
    return {"set_rollout_state", rolloutStateBody(Options, "paused")};
  case ctl_action::rollout_resume:
    return {"set_rollout_state", rolloutStateBody(Options, "running")};
  case ctl_action::rollout_abort:
    return {"set_rollout_state", rolloutStateBody(Options, "aborted")};
  case ctl_action::drain:
    return {"drain_backend",
            json{{"name", Options.Target}, {"leaving", !Options.Undo}}};
  case ctl_action::evacuate:
    return {Options.Undo ? "end_evacuation" : "evacuate_zone",
            json{{"zone", Options.Target}}};
  case ctl_action::lift_quarantine:
    return {"lift_quarantine", liftQuarantineBody(Options)};
  default:
    return {"", failure::of(errc::internal, "not a change")};
  }
}

} // namespace

auto makeChangeId(std::uint64_t NowMs, std::uint64_t Random) -> std::string {
  std::array<char, 40> Text{};
  const auto Size = std::snprintf(Text.data(), Text.size(), "%012llx-%016llx",
                                  static_cast<unsigned long long>(NowMs),
                                  static_cast<unsigned long long>(Random));
  return {Text.data(), static_cast<std::size_t>(Size)};
}

auto identityFor(const ctl_options &Options, std::uint64_t NowMs,
                 std::uint64_t Random) -> change_identity {
  if (Options.ChangeId.empty())
    return {makeChangeId(NowMs, Random), Options.Issuer, NowMs};
  // A resend carries the time of the first attempt, so that control can refuse
  // a change that is older than the retention of change ids.
  const auto FirstAttemptMs = changeIdTime(Options.ChangeId);
  return {Options.ChangeId, Options.Issuer, FirstAttemptMs.value_or(NowMs)};
}

auto identityForEntry(const change_identity &Identity, std::size_t Index)
    -> change_identity {
  return {Identity.Id + "." + std::to_string(Index), Identity.Issuer,
          Identity.IssuedMs};
}

auto commandJson(const change_identity &Identity, std::string_view Name,
                 json Body) -> json {
  return {{"command", std::string(Name)},
          {"change_id", Identity.Id},
          {"issuer", Identity.Issuer},
          {"issued_ms", Identity.IssuedMs},
          {"body", std::move(Body)}};
}

auto changeFor(const ctl_options &Options, const change_identity &Identity)
    -> result<json> {
  auto [Name, Body] = commandNameAndBody(Options);
  if (!Body)
    return Body.error();
  return commandJson(Identity, Name, std::move(*Body));
}

auto entry_name::arguments() const -> json {
  auto Arguments = json::object();
  if (!Kind.empty())
    Arguments["kind"] = Kind;
  if (!Name.empty())
    Arguments["name"] = Name;
  return Arguments;
}

auto parseEntryName(std::string_view Text) -> entry_name {
  const auto Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return {std::string(Text), {}};
  return {std::string(Text.substr(0, Slash)),
          std::string(Text.substr(Slash + 1))};
}

} // namespace acacianotch
