/// \file Members of a group that do not answer their leader.
#include "control/member_silence.h"

#include <algorithm>

namespace acacianotch {

namespace {

constexpr duration LearnerLimit = std::chrono::seconds(2);

} // namespace

// Silent voters are removed only while there are spare ones. That never costs
// tolerance: the other voters need a majority of fewer. A voter that comes back
// joins again with its records, so the limit is as short as that for a leader;
// until it has passed, the group bears one loss less. A learner has no vote to
// lose, and it has to start and to store its identity first.
auto silence_limits::create(duration ElectionMax) -> silence_limits {
  return {ElectionMax, std::max<duration>(ElectionMax, LearnerLimit)};
}

member_silence::member_silence(const silence_limits &TheLimits,
                               duration TheInterval)
    : Limits(TheLimits), Interval(TheInterval) {}

// Time without a lease is not counted: the leader itself may be cut off or may
// have stood still. It does not end a silence either, or a member that is gone
// would stay in the group for as long as links are bad enough for the lease to
// lapse now and then. A late call counts as one interval for the same reason.
auto member_silence::observe(const std::map<replica_id, peer_progress> &Peers,
                             bool LeaseHeld) -> void {
  std::erase_if(Rows,
                [&](const auto &Row) { return !Peers.contains(Row.first); });
  for (const auto &[Id, Peer] : Peers) {
    const auto [Found, Added] =
        Rows.try_emplace(Id, row{Peer.AckedSendTime, duration::zero()});
    auto &Row = Found->second;
    if (Row.LastAnswered != Peer.AckedSendTime)
      Row = {Peer.AckedSendTime, duration::zero()};
    else if (LeaseHeld && !Added)
      Row.Silence += Interval;
  }
}

auto member_silence::silence(replica_id Id) const -> duration {
  const auto Row = Rows.find(Id);
  return Row == Rows.end() ? duration::zero() : Row->second.Silence;
}

auto member_silence::removable(const membership &Members,
                               std::size_t TargetVoters) const
    -> std::optional<replica_id> {
  const auto SpareVoters = Members.voterCount() > TargetVoters;
  std::optional<replica_id> Found;
  for (const auto &Member : Members.Members) {
    if (Member.Voter && !SpareVoters)
      continue;
    const auto Silence = silence(Member.Id);
    if (Silence < (Member.Voter ? Limits.Voter : Limits.Learner))
      continue;
    if (!Found || Silence > silence(*Found))
      Found = Member.Id;
  }
  return Found;
}

} // namespace acacianotch
