/// \file Catalogue entries: kinds, typed bodies and their field tables.
#pragma once

#include "catalogue/field_table.h"
#include "core/enum_table.h"
#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace acacianotch {

/// Kind of a catalogue entry, in the order of the entry_body alternatives.
enum class entry_kind : std::uint8_t {
  version,
  route,
  account,
  request_class,
  service,
  backend,
  invalid,
};

inline constexpr std::size_t EntryKinds = 6;

inline constexpr enum_table<entry_kind, EntryKinds> EntryKindNames{{{
    {entry_kind::version, "version"},
    {entry_kind::route, "route"},
    {entry_kind::account, "account"},
    {entry_kind::request_class, "class"},
    {entry_kind::service, "service"},
    {entry_kind::backend, "backend"},
}}};
constexpr auto namesOf(entry_kind) -> const auto & { return EntryKindNames; }

/// Whether a version may receive work.
enum class version_state : std::uint8_t { invalid, active, withdrawn };

inline constexpr enum_table<version_state, 2> VersionStateNames{{{
    {version_state::active, "active"},
    {version_state::withdrawn, "withdrawn"},
}}};
constexpr auto namesOf(version_state) -> const auto & {
  return VersionStateNames;
}

/// One version of one model; the entry's name is `model@version`.
struct version_body {
  std::string Model;
  std::string Version;
  version_state State = version_state::active;
  std::uint64_t InputCost = 0;  ///< Micro-units per 1,000 input tokens.
  std::uint64_t OutputCost = 0; ///< Micro-units per 1,000 output tokens.
  double Quality = 0;           ///< Expected share of passed answers, 0..1.
  std::uint32_t GraceMs = 0;    ///< Disconnected grace after the lease.

  auto operator==(const version_body &) const -> bool = default;
  [[nodiscard]] auto ref() const -> version_ref { return {Model, Version}; }
};

/// A public model name (the entry's name) and the models that may serve it.
struct route_body {
  std::vector<std::string> Candidates; ///< Cheapest to most expensive.
  std::string Class;                   ///< Default class.
  std::optional<double> QualityTarget; ///< Overrides the class's, 0..1.

  auto operator==(const route_body &) const -> bool = default;
};

/// A client account; the entry's name is the account id.
struct account_body {
  std::string KeySha256; ///< Lower-case hex digest of the bearer key.
  std::vector<version_ref> Allowed; ///< An empty version allows all versions.
  std::uint64_t SpendLimit = 0;     ///< Micro-units per UTC month.
  double Weight = 1;                ///< Share in weighted fair sharing.
  std::uint32_t MaxInFlight = 1;    ///< Requests at once.

  auto operator==(const account_body &) const -> bool = default;
};

/// Treatment of a class of requests.
struct class_body {
  std::uint8_t Priority = 0;    ///< 0 is the most urgent.
  std::uint32_t DeadlineMs = 0; ///< Default deadline.
  double LongShare = 1;         ///< Share of slots that long work may take.
  double QualityTarget = 0;     ///< Least share of passed answers, 0..1.
  bool LongWork = false;        ///< Requests of this class count as long.

  auto operator==(const class_body &) const -> bool = default;
};

/// A plain service.
struct service_body {
  std::vector<std::string> Paths;             ///< Path prefixes it serves.
  std::vector<std::string> IdempotentMethods; ///< Methods that may be retried.
  std::string Class;

  auto operator==(const service_body &) const -> bool = default;
};

/// A backend server; it serves versions or one service.
struct backend_body {
  std::string Address; ///< `IP:port` of its agent.
  std::string Zone;    ///< Availability zone.
  std::vector<version_ref> Versions;
  std::string Service;     ///< Empty for a model engine.
  std::uint32_t Slots = 1; ///< Requests that may run at once.
  bool Leaving = false;    ///< Receives no new work.

  auto operator==(const backend_body &) const -> bool = default;
};

using entry_body = std::variant<version_body, route_body, account_body,
                                class_body, service_body, backend_body>;
static_assert(std::variant_size_v<entry_body> == EntryKinds);

/// Kind and name identify an entry.
struct entry_key {
  entry_kind Kind = entry_kind::invalid;
  std::string Name;

  auto operator<=>(const entry_key &) const = default;

  /// \return `kind/name`.
  [[nodiscard]] auto text() const -> std::string {
    return std::string(EntryKindNames.name(Kind)) + "/" + Name;
  }
};

/// One catalogue entry.
struct model_entry {
  std::string Name;
  std::string Owner;
  revision Revision = revision::none; ///< Log index of the last change.
  revision Created = revision::none;  ///< Log index of the first put.
  entry_body Body;

  auto operator==(const model_entry &) const -> bool = default;
  [[nodiscard]] auto kind() const -> entry_kind {
    return static_cast<entry_kind>(Body.index());
  }
  [[nodiscard]] auto key() const -> entry_key { return {kind(), Name}; }
};

/// \return whether \p Name may name an entry, model, version or account:
/// 1 to 128 letters, digits or `._:/-`.
[[nodiscard]] auto validName(std::string_view Name) -> bool;

/// Checks what the field tables cannot express, such as the name of a version
/// entry. \return bad_request with the reason.
[[nodiscard]] auto validateEntry(const model_entry &Entry) -> result<void>;

template <> struct field_table<version_body> {
  using body = version_body;
  static constexpr auto Fields = std::tuple{
      required("model", &body::Model, {1, 128}, "model name"),
      required("version", &body::Version, {1, 128}, "version name"),
      field("state", &body::State, {}, "active or withdrawn"),
      required("input_cost", &body::InputCost, {0, 1e12},
               "micro-units per 1,000 input tokens"),
      required("output_cost", &body::OutputCost, {0, 1e12},
               "micro-units per 1,000 output tokens"),
      required("quality", &body::Quality, {0, 1},
               "expected share of answers that pass"),
      field("grace_ms", &body::GraceMs, {0, 86'400'000},
            "disconnected grace in milliseconds"),
  };
};

template <> struct field_table<route_body> {
  using body = route_body;
  static constexpr auto Fields = std::tuple{
      required("candidates", &body::Candidates, {1, 32},
               "models, cheapest first"),
      required("class", &body::Class, {1, 128}, "default class"),
      field("quality_target", &body::QualityTarget, {0, 1},
            "least share of answers that pass; overrides the class"),
  };
};

template <> struct field_table<account_body> {
  using body = account_body;
  static constexpr auto Fields = std::tuple{
      required("key_sha256", &body::KeySha256, {64, 64},
               "SHA-256 of the bearer key, lower-case hex"),
      required("allowed", &body::Allowed, {0, 1024},
               "allowed models (model) and versions (model@version)"),
      required("spend_limit", &body::SpendLimit, {0, 1e15},
               "micro-units per UTC month"),
      field("weight", &body::Weight, {0.001, 1000},
            "share in weighted fair sharing"),
      required("max_in_flight", &body::MaxInFlight, {1, 1e6},
               "requests at once"),
  };
};

template <> struct field_table<class_body> {
  using body = class_body;
  static constexpr auto Fields = std::tuple{
      required("priority", &body::Priority, {0, 255}, "0 is the most urgent"),
      required("deadline_ms", &body::DeadlineMs, {1, 86'400'000},
               "default deadline in milliseconds"),
      field("long_share", &body::LongShare, {0, 1},
            "share of slots that long work may take"),
      field("quality_target", &body::QualityTarget, {0, 1},
            "least share of answers that pass"),
      field("long_work", &body::LongWork, {}, "requests count as long work"),
  };
};

template <> struct field_table<service_body> {
  using body = service_body;
  static constexpr auto Fields = std::tuple{
      required("paths", &body::Paths, {1, 256}, "path prefixes"),
      field("idempotent_methods", &body::IdempotentMethods, {0, 16},
            "HTTP methods that may be retried"),
      required("class", &body::Class, {1, 128}, "class of its requests"),
  };
};

template <> struct field_table<backend_body> {
  using body = backend_body;
  static constexpr auto Fields = std::tuple{
      required("address", &body::Address, {1, 256}, "IP:port of the agent"),
      required("zone", &body::Zone, {1, 128}, "availability zone"),
      field("versions", &body::Versions, {0, 256},
            "versions that it serves (model@version)"),
      field("service", &body::Service, {0, 128}, "plain service it serves"),
      required("slots", &body::Slots, {1, 1e6}, "requests that run at once"),
      field("leaving", &body::Leaving, {}, "receives no new work"),
  };
};

/// Reads and writes an entry as `{kind, name, owner, revision, created, body}`.
template <> struct value_codec<model_entry> : codec_base<model_entry> {
  static constexpr std::string_view Name = "entry";
  static auto write(const model_entry &Entry) -> json;
  static auto read(const json &Value, model_entry &Out, const limits &)
      -> result<void>;
};

} // namespace acacianotch
