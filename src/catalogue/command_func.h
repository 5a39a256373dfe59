/// \file Execution of commands on the replicated state. Each function checks
/// and then, unless it is a dry run, changes the state.
#pragma once

#include "catalogue/state_type.h"

namespace acacianotch {

/// Retention of claims, change ids, recorded requests and crash reports.
inline constexpr std::uint64_t RetentionMs = 24ULL * 3600 * 1000;

/// An idempotency key older than RetentionMs is refused for this time, since a
/// late resend must not run again.
inline constexpr std::uint64_t OldClaimRetentionMs = 30 * RetentionMs;

/// Time that a budget lease lasts.
inline constexpr std::uint64_t BudgetLeaseMs = 10'000;

/// Log time between two removals of old data.
inline constexpr std::uint64_t SweepIntervalMs = 60'000;

inline constexpr std::size_t HistoryRows = 8;      ///< Kept per entry.
inline constexpr std::size_t RolloutsKept = 256;   ///< Earlier rollouts.
inline constexpr std::size_t CrashIdsKept = 16;    ///< Per fingerprint.
inline constexpr std::uint32_t SuspectCrashes = 2; ///< Separate crashes.

/// Circumstances of one execution.
struct command_context {
  const command &Command;
  std::uint64_t Index = 0;          ///< Log index; 0 in a dry run.
  std::uint64_t NowMs = 0;          ///< Log time.
  bool DryRun = false;              ///< Check only.
  std::vector<std::string> Changed; ///< Keys of shared values that changed.

  [[nodiscard]] auto revisionHere() const -> revision {
    return revision{Index};
  }
};

auto execute(catalogue_data &Data, command_context &Context,
             const put_entry &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const remove_entry &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const withdraw_version &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const drain_backend &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const start_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const set_rollout_state &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const advance_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const report_version_evidence &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const claim_request &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const settle_request &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const record_usage &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const lease_budget &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const report_crash &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const lift_quarantine &Body) -> command_result;

auto execute(catalogue_data &Data, command_context &Context,
             const publish_routing &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const start_service_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const end_service_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const report_service_evidence &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const shift_service_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const open_service_rollout &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const evacuate_zone &Body) -> command_result;
auto execute(catalogue_data &Data, command_context &Context,
             const end_evacuation &Body) -> command_result;

/// Stops the rollouts that a withdrawn version takes part in: a rollout to it
/// is aborted, a rollout from it is paused.
auto stopRolloutsOf(catalogue_data &Data, command_context &Context,
                    const version_ref &Version) -> void;

/// \return the remembered result of the command's change id, an error if the
/// id belongs to another command or is too old, or nothing if it is new.
[[nodiscard]] auto earlierResult(const catalogue_data &Data,
                                 const command_context &Context)
    -> std::optional<command_result>;

/// Remembers the first result of the command's change id, if it has one.
auto rememberResult(catalogue_data &Data, const command_context &Context,
                    const command_result &Result) -> void;

/// Removes data older than its retention. Runs after a command, so that a check
/// sees the same state as the command.
auto sweep(catalogue_data &Data, command_context &Context) -> void;

} // namespace acacianotch
