/// \file Merges the work that gateways have waiting at backend servers.
#pragma once

#include "board/work_board.h"

#include <map>
#include <string>
#include <vector>

namespace acacianotch {

/// Keeps the last statement of each gateway and the sum of all. Costs one step
/// for each server that a gateway names.
class work_exchange {
public:
  /// Takes what \p Node has waiting at the servers that it uses, also where it
  /// is nothing. \return the sum of all other nodes at these servers.
  [[nodiscard]] auto exchange(const std::string &Node,
                              std::vector<server_work> Rows, time_point Now)
      -> std::vector<server_work>;

private:
  struct statement {
    std::vector<server_work> Rows;
    time_point At{};
  };

  auto take(const std::vector<server_work> &Rows) -> void;
  auto giveBack(const std::vector<server_work> &Rows) -> void;
  auto dropOld(time_point Now) -> void;

  std::map<std::string, statement> Statements;
  std::map<server_key, std::uint64_t> Sums;
};

} // namespace acacianotch
