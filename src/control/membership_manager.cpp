/// \file Manages the membership of a self-forming group.
#include "control/membership_manager.h"

#include "core/log_func.h"

#include <utility>

namespace acacianotch {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(100);

auto refuse(errc Code, std::string Detail) -> join_answer {
  join_answer Answer;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  return Answer;
}

} // namespace

membership_manager::membership_manager(event_loop &Loop,
                                       control_service &TheService,
                                       std::size_t TheTargetVoters,
                                       const silence_limits &Limits)
    : Service(TheService), TargetVoters(TheTargetVoters),
      Silence(Limits, TickInterval), Timer(Loop.repeating([this] { tick(); })) {
  Timer->start(TickInterval);
}

auto membership_manager::change(std::string_view Action, replica_id Id,
                                std::string Address) -> result<void> {
  auto Done = Service.changeMembers(Action, Id, Address);
  if (!Done)
    return Done;
  const auto &Node = Service.replica().node();
  logInfo(log_category::replication, "membership change proposed",
          {{"action", Action},
           {"replica", static_cast<std::uint64_t>(Id)},
           {"address", Address},
           {"silent_ms", Silence.silence(Id) / std::chrono::milliseconds(1)},
           {"voters", Node.members().voterCount()},
           {"target_voters", TargetVoters},
           {"term", Node.term()}});
  if (OnChange)
    OnChange(Action);
  return Done;
}

auto membership_manager::grant(replica_id Id, bool Removed) const
    -> join_answer {
  join_answer Answer;
  Answer.Grant.Group = Service.replica().group();
  Answer.Grant.Replica = static_cast<std::uint64_t>(Id);
  Answer.Grant.Removed = Removed;
  for (const auto &Member : Service.replica().node().members().Members)
    if (const auto Address = parseAddress(Member.Address))
      Answer.Grant.Members.push_back(
          {static_cast<std::uint64_t>(Member.Id), *Address});
  return Answer;
}

auto membership_manager::canSpare(replica_id Id) const -> bool {
  const auto &Members = Service.replica().node().members();
  return Members.isVoter(Id) && Members.voterCount() > TargetVoters;
}

// A voter that stops counts towards the majority until it is removed. If it was
// replaced, the loss of another voter in that time leaves the group without
// one.
auto membership_manager::answerMember(const membership_request &Request)
    -> join_answer {
  const auto Id = replica_id{Request.Replica};
  const auto *Member = Service.replica().node().members().find(Id);
  if (Member == nullptr || !Request.Leaving || !canSpare(Id))
    return grant(Id, Member == nullptr);
  const auto Done = change("remove_replica", Id, Member->Address);
  return refuse(errc::not_ready, Done ? "the leaving member is being removed"
                                      : Done.error().text());
}

// A replica without identity at a member's address has lost its disk, so that
// member can never answer again and is removed. Its id is never reused.
auto membership_manager::join(const std::string &Address, std::uint64_t Token,
                              const membership_request &Request)
    -> join_answer {
  const auto &Node = Service.replica().node();
  if (!Service.confirmedEpoch())
    return refuse(errc::not_leader, "");
  startTerm(Node.term());
  if (!Node.membersCommitted())
    return refuse(errc::not_ready, "a membership change is under way");
  if (Request.Replica != 0)
    return answerMember(Request);
  const auto &Members = Node.members();
  const auto Pending = PendingJoins.find(Token);
  if (Pending != PendingJoins.end() &&
      Members.find(Pending->second.Id) != nullptr)
    return grant(Pending->second.Id, false);
  for (const auto &Member : Members.Members)
    if (Member.Address == Address) {
      const auto Done = change("remove_replica", Member.Id, Address);
      return refuse(errc::not_ready, Done ? "the lost member is being removed"
                                          : Done.error().text());
    }
  const auto Id = replica_id{Members.NextId};
  if (const auto Done = change("add_replica", Id, Address); !Done)
    return refuse(errc::not_ready, Done.error().text());
  PendingJoins[Token] = {Address, Id};
  return refuse(errc::not_ready, "the learner is being added");
}

auto membership_manager::startTerm(log_term Term) -> void {
  if (std::exchange(LedTerm, Term) == Term)
    return;
  PendingJoins.clear();
  Silence.clear();
}

auto membership_manager::tick() -> void {
  const auto &Node = Service.replica().node();
  const auto Leads = Node.role() == raft_role::leader;
  startTerm(Leads ? Node.term() : 0);
  if (!Leads)
    return;
  const auto Confirmed = Service.confirmedEpoch().has_value();
  Silence.observe(Node.peers(), Confirmed);
  if (!Confirmed || !Node.membersCommitted())
    return;
  promoteLearners();
  if (Node.membersCommitted())
    removeUnresponsive();
}

auto membership_manager::promoteLearners() -> void {
  const auto &Node = Service.replica().node();
  for (const auto &Member : Node.members().Members) {
    if (Member.Voter)
      continue;
    if (change("promote_replica", Member.Id, Member.Address))
      return;
  }
}

auto membership_manager::removeUnresponsive() -> void {
  const auto &Members = Service.replica().node().members();
  const auto Id = Silence.removable(Members, TargetVoters);
  if (!Id)
    return;
  const auto Address = Members.find(*Id)->Address;
  if (const auto Done = change("remove_replica", *Id, Address); !Done)
    logDebug(log_category::replication, "cannot remove a silent member",
             {{"replica", static_cast<std::uint64_t>(*Id)},
              {"error", Done.error().text()}});
}

} // namespace acacianotch
