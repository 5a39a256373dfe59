/// \file Control service: replicates commands and pushes the state to nodes.
#pragma once

#include "catalogue/catalogue_state.h"
#include "control/group_join.h"
#include "control/replica_host.h"
#include "control/subscriptions.h"
#include "control/work_exchange.h"
#include "controller/cold_shares.h"
#include "controller/crash_attribution.h"

#include <acacianotch.capnp.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Counters of one control replica since its start.
struct control_counters {
  std::uint64_t Proposed = 0;
  std::uint64_t Committed = 0;
  std::uint64_t Refused = 0;
};

/// Connects the replica, the state machine and the subscriptions of nodes.
class control_service {
public:
  /// Opens the data folder and restores the state. \return the errors of
  /// replica_host::open.
  [[nodiscard]] static auto open(event_loop &Loop,
                                 const replica_host_options &Options)
      -> result<std::unique_ptr<control_service>>;

  ~control_service();
  control_service(const control_service &) = delete;
  auto operator=(const control_service &) -> control_service & = delete;

  /// Starts to participate in the group.
  auto start() -> void;

  /// Changes the membership of the group. \p Action is `add_replica`,
  /// `promote_replica` or `remove_replica`, as in queries of the
  /// command-line client.
  [[nodiscard]] auto changeMembers(std::string_view Action, replica_id Id,
                                   std::string Address) -> result<void>;

  /// Checks and replicates one command.
  [[nodiscard]] auto execute(command Command) -> kj::Promise<command_result>;

  /// Checks and replicates one encoded command.
  [[nodiscard]] auto execute(std::string_view Bytes)
      -> kj::Promise<command_result>;

  /// \return the fencing epoch if this replica is the leader and its state is
  /// current.
  [[nodiscard]] auto confirmedEpoch() const -> std::optional<epoch>;

  /// \return the log time of a command that the leader would issue now.
  [[nodiscard]] auto nowMs() -> std::uint64_t { return nextTimeMs(); }

  /// Answers a replica that requests membership. Not set in a group whose
  /// membership is changed by operators.
  std::function<join_answer(const std::string &Address, std::uint64_t Token,
                            const membership_request &Request)>
      OnJoin;

  /// Names of the availability zones that may be evacuated; empty for any.
  std::vector<std::string> Zones;

  /// Runs for each applied command, with its name.
  std::function<void(std::string_view Name)> OnApplied;
  /// Runs when the result of a command that this replica proposed is known,
  /// with the time since its arrival.
  std::function<void(duration Waited)> OnProposalDone;

  /// \return the answer to a query of the command-line client.
  [[nodiscard]] auto query(std::string_view What, const json &Arguments)
      -> result<json>;

  [[nodiscard]] auto replica() -> replica_host & { return *Host; }
  [[nodiscard]] auto nodeSubscriptions() -> subscriptions & { return *Nodes; }
  [[nodiscard]] auto workExchange() -> work_exchange & { return Work; }
  [[nodiscard]] auto coldShares() -> cold_shares & { return Cold; }
  [[nodiscard]] auto crashAttribution() -> crash_attribution & {
    return Crashes;
  }
  [[nodiscard]] auto state() const -> const catalogue_state & { return State; }
  [[nodiscard]] auto counters() const -> const control_counters & {
    return Counters;
  }

private:
  struct proposal {
    log_term Term = 0;
    time_point ProposedAt;
    kj::Own<kj::PromiseFulfiller<command_result>> Fulfiller;
  };

  explicit control_service(event_loop &Loop);

  auto callbacks() -> replica_callbacks;
  auto apply(const log_record &Record) -> void;
  auto completeProposal(const log_record &Record, command_result Result)
      -> void;
  auto complete(log_index Index, proposal &Proposal, command_result Result)
      -> void;
  auto roleChanged() -> void;
  auto nextTimeMs() -> std::uint64_t;
  auto startLogClock() -> void;
  [[nodiscard]] auto refuse(errc Code) const -> command_result;
  /// \return the result that rejects the evacuation of an unknown zone.
  [[nodiscard]] auto checkZone(const command &Command) const -> command_result;

  event_loop &Loop;
  catalogue_state State;
  work_exchange Work;
  crash_attribution Crashes;
  cold_shares Cold;
  std::unique_ptr<replica_host> Host;
  std::unique_ptr<subscriptions> Nodes;
  std::map<log_index, proposal> Proposals;
  std::uint64_t StartMs = 0; ///< Log time when this replica became leader.
  time_point LeaderSince{};
  control_counters Counters;
};

/// \return the RPC interface of a control replica.
[[nodiscard]] auto controlInterface(control_service &Service)
    -> wire::Control::Client;

} // namespace acacianotch
