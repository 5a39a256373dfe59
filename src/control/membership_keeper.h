/// \file Keeps the membership of a group that forms itself.
#pragma once

#include "control/control_service.h"
#include "control/group_join.h"

#include <map>
#include <memory>
#include <string>

namespace acacianotch {

/// On the leader, admits replicas with empty data folders, makes learners
/// voters, and removes voters that stay silent while their successors run.
class membership_keeper {
public:
  /// \p Size is the number of voters that bear the losses that the group must
  /// bear; a silent voter is removed only while there are more.
  membership_keeper(event_loop &Loop, control_service &Service,
                    std::size_t Size);

  /// Handles a replica's request for membership. Each call makes one step at
  /// most; the replica asks again until the grant comes.
  [[nodiscard]] auto join(const std::string &Address, std::uint64_t Token,
                          std::uint64_t Replica) -> join_answer;

private:
  struct ticket {
    std::string Address;
    replica_id Id = replica_id::none;
  };

  auto tick() -> void;
  auto noteMembers() -> void;
  auto promoteLearners() -> void;
  auto removeSilent() -> void;
  [[nodiscard]] auto grant(replica_id Id, bool Removed) const -> join_answer;
  auto change(std::string_view Action, replica_id Id, std::string Address)
      -> result<void>;

  control_service &Service;
  std::size_t Size;
  std::map<std::uint64_t, ticket> Tickets; ///< By token; lost with the leader.
  /// When this leader first saw each member; one that has just been added has
  /// not had time to answer.
  std::map<replica_id, time_point> SeenAt;
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
