/// \file Exchanges outstanding work with the other gateways through control.
#pragma once

#include "board/work_board.h"
#include "gateway/backend_directory.h"
#include "gateway/crash_watch.h"
#include "net/event_loop.h"
#include "node/node_link.h"
#include "node/sequential_call.h"

#include <memory>
#include <string>

namespace acacianotch {

/// Reports the outstanding work of this gateway and the crashes that it
/// observed to the leader of control, and receives the work of the others and
/// what to do about prompts that crash servers. While no leader is known, the
/// work board is not updated.
class work_reporter {
public:
  work_reporter(event_loop &Loop, node_link &Link, work_board &Board,
                crash_watch &Crashes, backend_directory &Directory,
                std::string Node);

  /// Starts the exchange.
  auto start() -> void;

private:
  auto tick() -> void;
  auto writeColdServers(auto &Request, time_point Now) -> void;
  [[nodiscard]] auto ownRows() const -> std::vector<server_work>;

  event_loop &Loop;
  node_link &Link;
  work_board &Board;
  crash_watch &Crashes;
  backend_directory &Directory;
  std::string Node;
  std::uint64_t Token; ///< Another one in each process.
  double Rate = 0;     ///< Requests per second to services with cold limits.
  time_point RateAt{};
  std::unique_ptr<loop_timer> Timer;
  sequential_call Call;
};

} // namespace acacianotch
