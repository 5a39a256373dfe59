/// \file Manages the membership of a self-forming group.
#pragma once

#include "control/control_service.h"
#include "control/group_join.h"
#include "control/member_silence.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace acacianotch {

/// On the leader, admits replicas with empty data folders, promotes learners to
/// voters, and removes unresponsive voters once replacements have joined.
class membership_manager {
public:
  /// \p TargetVoters is the number of voters needed to tolerate the configured
  /// losses; an unresponsive voter is removed only while there are more.
  membership_manager(event_loop &Loop, control_service &Service,
                     std::size_t TargetVoters, const silence_limits &Limits);

  /// Handles a replica's request for membership or for its end. Each call
  /// proposes at most one change; the replica repeats the request until it is
  /// granted.
  [[nodiscard]] auto join(const std::string &Address, std::uint64_t Token,
                          const membership_request &Request) -> join_answer;

  /// \return whether the group can give up the vote of \p Id and keep the
  /// voters that it needs to tolerate the configured losses.
  [[nodiscard]] auto canSpare(replica_id Id) const -> bool;

  /// Runs for each change that is proposed.
  std::function<void(std::string_view Action)> OnChange;

private:
  struct pending_join {
    std::string Address;
    replica_id Id = replica_id::none;
  };

  auto tick() -> void;
  /// Forgets what was known as the leader of another term.
  auto startTerm(log_term Term) -> void;
  auto promoteLearners() -> void;
  auto removeUnresponsive() -> void;
  [[nodiscard]] auto grant(replica_id Id, bool Removed) const -> join_answer;
  [[nodiscard]] auto answerMember(const membership_request &Request)
      -> join_answer;
  auto change(std::string_view Action, replica_id Id, std::string Address)
      -> result<void>;

  control_service &Service;
  std::size_t TargetVoters;
  log_term LedTerm = 0; ///< Last term that this replica led; 0 if it does not.
  /// By token. An id that another leader has assigned may be another replica's.
  std::map<std::uint64_t, pending_join> PendingJoins;
  member_silence Silence;
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
