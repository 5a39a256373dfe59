/// \file Values shared by the replication tests.
#pragma once

#include "replication/record_type.h"

#include <cstdint>
#include <string>

namespace acacianotch::test {

/// \return a membership of \p Voters voters with ids from 1.
inline auto group(std::uint64_t Voters) -> membership {
  membership Members;
  for (; Members.NextId <= Voters; ++Members.NextId)
    Members.Members.push_back({replica_id{Members.NextId}, true, "vm"});
  return Members;
}

/// \return a command record with a payload that depends on \p Index.
inline auto command(log_index Index, log_term Term) -> log_record {
  return {Index, Term, record_kind::command, "c" + std::to_string(Index)};
}

} // namespace acacianotch::test
