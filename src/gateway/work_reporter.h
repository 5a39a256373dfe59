/// \file Exchanges waiting work with the other gateways through control.
#pragma once

#include "board/work_board.h"
#include "gateway/backend_directory.h"
#include "net/event_loop.h"
#include "node/node_link.h"
#include "node/sequential_call.h"

#include <memory>
#include <string>

namespace acacianotch {

/// Tells the leader of control what this gateway has waiting and takes what
/// the others have. While no leader is known, the board grows old.
class work_reporter {
public:
  work_reporter(event_loop &Loop, node_link &Link, work_board &Board,
                const backend_directory &Directory, std::string Node);

  /// Starts to exchange.
  auto start() -> void;

private:
  auto tick() -> void;
  [[nodiscard]] auto statement() const -> std::vector<server_work>;

  event_loop &Loop;
  node_link &Link;
  work_board &Board;
  const backend_directory &Directory;
  std::string Node;
  std::unique_ptr<loop_timer> Timer;
  sequential_call Call;
};

} // namespace acacianotch
