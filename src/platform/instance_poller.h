/// \file Periodic reads of the platform's list of backend servers.
#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"
#include "routing/backend_type.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch::platform {

/// Polls the list page by page. The last complete list stays valid while the
/// platform does not answer.
class instance_poller {
public:
  using list_callback = std::function<void(std::vector<backend_record>)>;

  /// \p Interval is the pause between two reads of the whole list.
  instance_poller(event_loop &Loop, const address &Address, duration Interval,
                  list_callback OnList);

  /// Starts polling. Reads are skipped while \p ShouldPoll returns false
  /// because another process reads the list.
  auto start(std::function<bool()> ShouldPoll) -> void;

  /// \return when the last complete list arrived; the clock's epoch before the
  /// first.
  [[nodiscard]] auto listedAt() const -> time_point { return ListedAt; }

private:
  auto poll() -> void;
  auto requestPage() -> void;
  auto handleEnd(const result<void> &Result) -> void;
  auto handlePage() -> void;
  auto handleFailure(const std::string &Reason) -> void;

  event_loop &Loop;
  http_client Client;
  duration Interval;
  list_callback OnList;
  std::function<bool()> ShouldPoll;
  std::unique_ptr<loop_timer> Timer;
  std::unique_ptr<http_call> Call;
  int Status = 0;
  std::string Body;
  std::string Token; ///< Of the requested page; empty for the first.
  std::vector<backend_record> Collected;
  time_point ListedAt{};
  bool Reachable = true;
};

} // namespace acacianotch::platform
