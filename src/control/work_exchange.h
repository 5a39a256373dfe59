/// \file Exchange of outstanding work at backend servers between gateways.
#pragma once

#include "board/work_board.h"

#include <map>
#include <string>
#include <vector>

namespace acacianotch {

/// Keeps the last report of each gateway and the sums over all. An exchange
/// does one look-up for each server in the report.
class work_exchange {
public:
  /// Replaces the outstanding work of \p Node. \p Rows lists every server that
  /// it uses, including those without work. \return the sums over all other
  /// nodes at these servers.
  [[nodiscard]] auto exchange(const std::string &Node,
                              std::vector<server_work> Rows, time_point Now)
      -> std::vector<server_work>;

private:
  struct report {
    std::vector<server_work> Rows;
    time_point At{};
  };

  auto add(const std::vector<server_work> &Rows) -> void;
  auto subtract(const std::vector<server_work> &Rows) -> void;
  auto removeStale(time_point Now) -> void;

  std::map<std::string, report> Reports;
  std::map<server_key, std::uint64_t> Sums;
};

} // namespace acacianotch
