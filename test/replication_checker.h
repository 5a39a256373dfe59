/// \file Checks of the replication guarantees in a simulation.
#pragma once

#include "replication/record_type.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include <xxhash.h>

namespace acacianotch::test {

/// State machine of the simulated replicas: a hash over all applied records.
struct chain_state {
  log_index Applied = 0;
  std::uint64_t Hash = 0;

  auto apply(const log_record &Record) -> void {
    Applied = Record.Index;
    Hash = XXH64(Record.Payload.data(), Record.Payload.size(),
                 Hash + Record.Term + static_cast<std::uint64_t>(Record.Kind));
  }

  /// \return the state serialized to at least \p Size bytes.
  [[nodiscard]] auto encode(std::size_t Size) const -> std::string {
    auto Text = std::to_string(Applied) + " " + std::to_string(Hash) + " ";
    Text.resize(std::max(Text.size(), Size), '.');
    return Text;
  }

  static auto decode(const std::string &Text) -> chain_state {
    std::size_t Split = 0;
    chain_state State;
    State.Applied = std::stoull(Text, &Split);
    State.Hash = std::stoull(Text.substr(Split));
    return State;
  }

  auto operator==(const chain_state &) const -> bool = default;
};

/// Checks the guarantees of replication and keeps the first violation.
class replication_checker {
public:
  /// Checks that a term has at most one leader.
  auto leader(log_term Term, replica_id Id) -> void {
    HighestTerm = std::max(HighestTerm, Term);
    if (Leaders.try_emplace(Term, Id).first->second != Id)
      violation("two leaders in term " + std::to_string(Term));
  }

  /// Checks that all replicas apply the same records in the same order.
  auto applied(const log_record &Record, const chain_state &State) -> void {
    const row Row{{Record.Index, Record.Term}, State.Hash};
    if (Record.Index == Sequence.size() + 1)
      Sequence.push_back(Row);
    const auto Index = std::to_string(Record.Index);
    if (Record.Index > Sequence.size())
      return violation("record " + Index + " applied after a gap");
    const auto &First = Sequence[Record.Index - 1];
    if (First.Position != Row.Position || First.Hash != Row.Hash)
      violation("replicas apply different records at " + Index);
  }

  /// Checks that a restored state equals the result of the applied records.
  auto restored(const chain_state &State) -> void {
    if (State.Applied > Sequence.size() ||
        Sequence[State.Applied - 1].Hash != State.Hash)
      violation("snapshot differs at " + std::to_string(State.Applied));
  }

  /// Checks that an acknowledged record was applied, and that no leader of a
  /// later term exists.
  auto acknowledged(log_position Position, log_term Term) -> void {
    const auto Known = Position.Index <= Sequence.size() &&
                       Sequence[Position.Index - 1].Position == Position;
    if (!Known)
      violation("acknowledged record is not the one applied at " +
                std::to_string(Position.Index));
    onlyLeader(Term, "acknowledgement");
    LastAck = std::max(LastAck, Position.Index);
    ++Acks;
  }

  /// Checks that a confirmed index covers every acknowledged record.
  auto confirmed(log_index Index, log_term Term) -> void {
    if (Index < LastAck)
      violation("confirmed index " + std::to_string(Index) +
                " misses acknowledged record " + std::to_string(LastAck));
    onlyLeader(Term, "confirmation");
  }

  auto violation(const std::string &Text) -> void {
    if (Violation.empty())
      Violation = Text;
  }

  [[nodiscard]] auto ok() const -> bool { return Violation.empty(); }
  [[nodiscard]] auto text() const -> const std::string & { return Violation; }
  [[nodiscard]] auto lastAcknowledged() const -> log_index { return LastAck; }
  [[nodiscard]] auto acknowledgements() const -> std::size_t { return Acks; }
  [[nodiscard]] auto terms() const -> std::size_t { return Leaders.size(); }

private:
  struct row {
    log_position Position;
    std::uint64_t Hash;
  };

  auto onlyLeader(log_term Term, const std::string &Effect) -> void {
    if (Term < HighestTerm)
      violation(Effect + " by the leader of term " + std::to_string(Term) +
                " after the election of term " + std::to_string(HighestTerm));
  }

  std::map<log_term, replica_id> Leaders;
  log_term HighestTerm = 0;
  std::vector<row> Sequence;
  log_index LastAck = 0;
  std::size_t Acks = 0;
  std::string Violation;
};

} // namespace acacianotch::test
