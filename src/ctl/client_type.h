/// \file Transport interface of acacianotchctl.
#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <string_view>

namespace acacianotch {

using json = nlohmann::json;

/// Connection to control, or to the admin address of one process.
///
/// execute() sends a command `{command, change_id, issuer, issued_ms, body}` to
/// the leader and returns `{revision, detail, payload}`. query() sends the
/// query with one of the names in query_name and returns the reply.
template <typename type>
concept control_client = requires(type &Client, const json &Object,
                                  std::string_view Name) {
  { Client.execute(Object) } -> std::same_as<result<json>>;
  { Client.query(Name, Object) } -> std::same_as<result<json>>;
};

/// \return the member \p Key of \p Object; null if there is none or if
/// \p Object is not an object.
[[nodiscard]] inline auto memberOf(const json &Object, std::string_view Key)
    -> json {
  if (!Object.is_object())
    return {};
  const auto Place = Object.find(Key);
  return Place == Object.end() ? json() : *Place;
}

/// \return the revision of \p Entry; 0 if it has none.
[[nodiscard]] inline auto revisionOf(const json &Entry) -> std::uint64_t {
  const auto Revision = memberOf(Entry, "revision");
  return Revision.is_number_unsigned() ? Revision.get<std::uint64_t>() : 0;
}

/// \return \p Reply, or protocol_error if it is not an object.
[[nodiscard]] inline auto requireObject(result<json> Reply) -> result<json> {
  if (Reply && !Reply->is_object())
    return failure::of(errc::protocol_error, "the reply is not an object");
  return Reply;
}

/// Names of queries, with their arguments and replies.
namespace query_name {
/// {kind?, name?} to {revision, entries: [entry]}.
inline constexpr std::string_view Entries = "entries";
/// {kind, name} to {history: [{revision, time_ms, issuer, change_id, action}]}.
inline constexpr std::string_view History = "history";
/// {model?} to {rollouts: [rollout]}.
inline constexpr std::string_view Rollouts = "rollouts";
/// {} to an object that describes the process.
inline constexpr std::string_view Status = "status";
/// {} to an object with the state of the process.
inline constexpr std::string_view Dump = "dump";
/// {category?, level?} to {levels: {category: level}} after the change.
inline constexpr std::string_view LogLevel = "log_level";
/// {id, address} to {accepted: true}; only the leader accepts it.
inline constexpr std::string_view AddReplica = "add_replica";
/// {id} to {accepted: true}; only the leader accepts it.
inline constexpr std::string_view PromoteReplica = "promote_replica";
/// {id} to {accepted: true}; only the leader accepts it.
inline constexpr std::string_view RemoveReplica = "remove_replica";
} // namespace query_name

} // namespace acacianotch
