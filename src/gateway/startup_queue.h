/// \file Requests that wait until a started gateway can serve them.
#pragma once

#include "controller/startup_admission.h"
#include "gateway/caller_connection.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

namespace acacianotch {

/// Holds requests that arrive before the gateway can serve. Each of them is
/// handed over once, answered with 503, or dropped because its caller has
/// disconnected. A request that is refused was sent to no backend server.
class startup_queue {
public:
  using handler = std::function<void(const std::shared_ptr<caller_connection> &,
                                     caller_request &&)>;

  /// Holds requests up to \p MaxSinceStart after now and hands them to
  /// \p Handler.
  startup_queue(event_loop &Loop, duration MaxSinceStart, handler Handler);
  startup_queue(const startup_queue &) = delete;
  auto operator=(const startup_queue &) -> startup_queue & = delete;

  [[nodiscard]] auto enabled() const -> bool {
    return Limits.MaxSinceStart > duration::zero();
  }

  /// \return whether requests may still be held.
  [[nodiscard]] auto open() const -> bool;

  /// Holds or refuses \p Request.
  auto add(const std::shared_ptr<caller_connection> &Caller,
           caller_request &&Request) -> void;

  /// Hands over all requests, earliest deadline first, in several turns of the
  /// event loop.
  auto release() -> void;

  /// Refuses all requests.
  auto refuseAll(std::string_view Reason, duration RetryAfter) -> void;

  [[nodiscard]] auto heldCount() const -> std::size_t { return Held.size(); }
  [[nodiscard]] auto heldBytes() const -> std::size_t { return HeldBytes; }
  [[nodiscard]] auto heldTotal() const -> std::uint64_t { return HeldTotal; }
  [[nodiscard]] auto refusedTotal() const -> std::uint64_t {
    return RefusedTotal;
  }
  /// \return the number of held requests whose callers disconnected.
  [[nodiscard]] auto droppedTotal() const -> std::uint64_t {
    return DroppedTotal;
  }

private:
  struct held_request {
    std::shared_ptr<caller_connection> Caller;
    caller_request Request;
    std::size_t Bytes = 0;
    time_point HoldUntil;
  };
  using held_list = std::list<held_request>;

  auto hold(const std::shared_ptr<caller_connection> &Caller,
            caller_request &&Request, std::size_t Bytes, time_point HoldUntil)
      -> void;
  auto refuse(caller_connection &Caller, const caller_request &Request,
              std::string_view Reason, duration RetryAfter) -> void;
  /// Removes a request and its callbacks. \return it.
  auto take(held_list::iterator Row) -> held_request;
  auto drop(held_list::iterator Row) -> void;
  auto refuseExpired() -> void;
  auto startTimer() -> void;
  auto handOverSome() -> void;

  event_loop &Loop;
  steady_clock Clock;
  startup_limits Limits;
  startup_admission<steady_clock> Admission;
  handler Handler;
  held_list Held;
  std::size_t HeldBytes = 0;
  std::uint64_t HeldTotal = 0;
  std::uint64_t RefusedTotal = 0;
  std::uint64_t DroppedTotal = 0;
  bool HandingOver = false;
  std::unique_ptr<loop_timer> Timer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
