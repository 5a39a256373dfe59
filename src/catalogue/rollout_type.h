/// \file Rollouts of versions, as stored and as spread to nodes.
#pragma once

#include "catalogue/field_table.h"

#include <string>
#include <vector>

namespace acacianotch {

/// State of a rollout; aborted and done are final.
enum class rollout_state : std::uint8_t {
  invalid,
  running,
  paused,
  aborted,
  done,
};

inline constexpr enum_table<rollout_state, 4> RolloutStateNames{{{
    {rollout_state::running, "running"},
    {rollout_state::paused, "paused"},
    {rollout_state::aborted, "aborted"},
    {rollout_state::done, "done"},
}}};
constexpr auto namesOf(rollout_state) -> const auto & {
  return RolloutStateNames;
}

/// One step of a rollout.
struct rollout_stage {
  double Share = 0;                ///< Share of the model's requests, 0..1.
  std::uint64_t MinRequests = 0;   ///< Evidence needed before the next stage.
  std::uint32_t MinDurationMs = 0; ///< Least time in the stage.

  auto operator==(const rollout_stage &) const -> bool = default;
};

/// Margins by which a version must be worse than its predecessor to be bad.
struct rollout_margin {
  double Errors = 0.02;   ///< Added error rate.
  double Slowness = 0.1;  ///< Added share of slow first tokens.
  double PassRate = 0.05; ///< Lost pass rate.

  auto operator==(const rollout_margin &) const -> bool = default;
};

/// The replacement of one version of a model by another.
struct rollout {
  std::string Id; ///< `model#log index`.
  std::string Model;
  std::string From; ///< Predecessor version.
  std::string To;   ///< Version that is rolled out.
  std::vector<rollout_stage> Stages;
  rollout_margin Margin;
  std::uint32_t Stage = 0; ///< Index of the current stage.
  rollout_state State = rollout_state::running;
  std::string Reason;        ///< Why it was paused or aborted.
  std::string Issuer;        ///< Who made the last change.
  std::uint64_t StageMs = 0; ///< Log time at which the stage began.
  revision Revision = revision::none;

  auto operator==(const rollout &) const -> bool = default;

  /// \return the share of the model's requests that goes to the new version.
  [[nodiscard]] auto share() const -> double;

  /// \return whether it is neither aborted nor done.
  [[nodiscard]] auto open() const -> bool {
    return State == rollout_state::running || State == rollout_state::paused;
  }
};

/// \return bad_request unless the stages grow and the stage index exists.
[[nodiscard]] auto validateRollout(const rollout &Rollout) -> result<void>;

template <> struct field_table<rollout_stage> {
  static constexpr auto Fields = std::tuple{
      required("share", &rollout_stage::Share, {0, 1}, "share of requests"),
      field("min_requests", &rollout_stage::MinRequests, {0, 1e9},
            "requests before the next stage"),
      field("min_duration_ms", &rollout_stage::MinDurationMs, {0, 1e9},
            "least time in the stage"),
  };
};

template <> struct field_table<rollout_margin> {
  static constexpr auto Fields = std::tuple{
      field("errors", &rollout_margin::Errors, {0, 1}, "added error rate"),
      field("slowness", &rollout_margin::Slowness, {0, 1},
            "added share of slow first tokens"),
      field("pass_rate", &rollout_margin::PassRate, {0, 1}, "lost pass rate"),
  };
};

template <> struct field_table<rollout> {
  static constexpr auto Fields = std::tuple{
      required("id", &rollout::Id, {1, 256}, "identifier"),
      required("model", &rollout::Model, {1, 128}, "model"),
      required("from", &rollout::From, {1, 128}, "predecessor version"),
      required("to", &rollout::To, {1, 128}, "new version"),
      required("stages", &rollout::Stages, {1, 64}, "steps"),
      field("margin", &rollout::Margin, {}, "margins of a bad version"),
      required("stage", &rollout::Stage, {0, 63}, "current step"),
      required("state", &rollout::State, {}, "state"),
      field("reason", &rollout::Reason, {0, 1024}, "reason of a stop"),
      field("issuer", &rollout::Issuer, {0, 128}, "who changed it last"),
      field("stage_ms", &rollout::StageMs, {}, "log time of the stage's start"),
      field("revision", &rollout::Revision, {}, "log index of the change"),
  };
};

} // namespace acacianotch
