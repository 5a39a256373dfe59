/// \file Reading and writing of commands.
#include "catalogue/cbor.h"
#include "catalogue/command_fields.h"
#include "catalogue/command_type.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// A command before its body has a type.
struct raw_command {
  std::string Command;
  std::string ChangeId;
  std::string Issuer;
  std::uint64_t IssuedMs = 0;
  std::uint64_t TimeMs = 0;
  json Body;
};

/// Calls \p Visit with each index of the command variant.
template <typename visitor> auto eachBody(const visitor &Visit) -> void {
  [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    (Visit.template operator()<Index>(), ...);
  }
  (std::make_index_sequence<std::variant_size_v<command_body>>());
}

auto readBody(const raw_command &Raw, command_body &Out) -> result<void> {
  auto Done = result<void>(failure::of(
      errc::bad_request, "unknown command '" + printable(Raw.Command) + "'"));
  eachBody([&]<std::size_t Index>() {
    if (CommandNames[Index] == Raw.Command)
      Done = readFields(Raw.Body, Out.emplace<Index>());
  });
  return Done;
}

} // namespace

template <> struct field_table<raw_command> {
  static constexpr auto Fields = std::tuple{
      required("command", &raw_command::Command, {1, 64}, "name"),
      field("change_id", &raw_command::ChangeId, {0, 128}, "change id"),
      field("issuer", &raw_command::Issuer, {0, 128}, "operator or node"),
      field("issued_ms", &raw_command::IssuedMs, {}, "issuer's wall clock"),
      field("time_ms", &raw_command::TimeMs, {}, "leader's wall clock"),
      required("body", &raw_command::Body, {}, "fields of the command"),
  };
};

auto usage_record::cost() const -> std::uint64_t {
  std::uint64_t Sum = 0;
  for (const auto &Attempt : Attempts)
    if (Attempt.Billed)
      Sum += Attempt.Cost;
  return Sum;
}

auto commandName(const command &Command) -> std::string_view {
  return CommandNames[Command.Body.index()];
}

auto needsChangeId(const command &Command) -> bool {
  const auto HasOwnKey =
      std::holds_alternative<claim_request>(Command.Body) ||
      std::holds_alternative<settle_request>(Command.Body) ||
      std::holds_alternative<record_usage>(Command.Body) ||
      std::holds_alternative<lease_budget>(Command.Body) ||
      std::holds_alternative<report_version_evidence>(Command.Body) ||
      std::holds_alternative<publish_routing>(Command.Body) ||
      std::holds_alternative<start_service_rollout>(Command.Body) ||
      std::holds_alternative<end_service_rollout>(Command.Body) ||
      std::holds_alternative<report_service_evidence>(Command.Body) ||
      std::holds_alternative<shift_service_rollout>(Command.Body) ||
      std::holds_alternative<open_service_rollout>(Command.Body) ||
      std::holds_alternative<evacuate_zone>(Command.Body) ||
      std::holds_alternative<end_evacuation>(Command.Body);
  return !HasOwnKey;
}

auto commandToJson(const command &Command) -> json {
  return writeFields(
      raw_command{std::string(commandName(Command)), Command.ChangeId,
                  Command.Issuer, Command.IssuedMs, Command.TimeMs,
                  std::visit([](const auto &Body) { return writeFields(Body); },
                             Command.Body)});
}

auto commandFromJson(const json &Value) -> result<command> {
  raw_command Raw;
  if (auto Done = readFields(Value, Raw); !Done)
    return Done.error();
  command Command;
  if (auto Done = readBody(Raw, Command.Body); !Done)
    return Done.error();
  Command.ChangeId = std::move(Raw.ChangeId);
  Command.Issuer = std::move(Raw.Issuer);
  Command.IssuedMs = Raw.IssuedMs;
  Command.TimeMs = Raw.TimeMs;
  return Command;
}

auto encodeCommand(const command &Command) -> std::string {
  return encodeCbor(commandToJson(Command));
}

auto decodeCommand(std::string_view Bytes) -> result<command> {
  auto Value = decodeCbor(Bytes);
  if (!Value)
    return Value.error();
  return commandFromJson(*Value);
}

auto describeCommand(std::string_view Name) -> std::vector<field_info> {
  std::vector<field_info> Rows;
  eachBody([&]<std::size_t Index>() {
    using body = std::variant_alternative_t<Index, command_body>;
    if (CommandNames[Index] == Name)
      Rows = describeFields<body>();
  });
  return Rows;
}

} // namespace acacianotch
