/// \file Requests that wait until a started gateway can serve them.
#include "gateway/startup_queue.h"

#include "core/log_func.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// Requests handed over in one turn of the event loop. A small VM needs some
/// milliseconds for them, in which it handles nothing else.
constexpr std::size_t MaxHandedOverPerTurn = 16;

constexpr int Unavailable = 503;

auto toMs(duration Time) -> std::int64_t {
  return Time / std::chrono::milliseconds(1);
}

auto deadlineOf(const caller_request &Request) -> time_point {
  return Request.TimeLeft ? Request.ReceivedAt + *Request.TimeLeft
                          : time_point::max();
}

/// \return -1 without a deadline.
auto timeLeftMs(const caller_request &Request) -> std::int64_t {
  return Request.TimeLeft ? toMs(deadlineOf(Request) - steady_clock::now())
                          : -1;
}

/// \return the memory that \p Request takes, nearly all of it in these parts.
auto bytesOf(const caller_request &Request) -> std::size_t {
  auto Bytes = sizeof(Request) + Request.Body.capacity() +
               Request.Target.capacity() +
               Request.Prompt.capacity() * sizeof(prompt_part);
  for (const auto &[Name, Value] : Request.Forwarded)
    Bytes += Name.capacity() + Value.capacity();
  return Bytes;
}

} // namespace

startup_queue::startup_queue(event_loop &TheLoop, duration MaxSinceStart,
                             handler TheHandler)
    : Loop(TheLoop), Limits{MaxSinceStart}, Admission(Clock, Limits),
      Handler(std::move(TheHandler)),
      Timer(TheLoop.oneShot([this] { refuseExpired(); })) {}

auto startup_queue::open() const -> bool {
  return Admission.sinceStart() < Limits.MaxSinceStart;
}

auto startup_queue::add(const std::shared_ptr<caller_connection> &Caller,
                        caller_request &&Request) -> void {
  startup_request Facts;
  if (Request.TimeLeft)
    Facts.TimeLeft = deadlineOf(Request) - steady_clock::now();
  Facts.Bytes = bytesOf(Request);
  Facts.HeldBytes = HeldBytes;
  Facts.HeldRequests = Held.size();
  const auto Decision = Admission.decide(Facts);
  if (Decision.Verdict != startup_verdict::held)
    return refuse(*Caller, Request, StartupVerdictNames.name(Decision.Verdict),
                  Admission.retryAfter());
  hold(Caller, std::move(Request), Facts.Bytes, Decision.HoldUntil);
}

auto startup_queue::hold(const std::shared_ptr<caller_connection> &Caller,
                         caller_request &&Request, std::size_t Bytes,
                         time_point HoldUntil) -> void {
  logInfo(log_category::entry, "request held until the gateway can serve",
          {{"request", Request.Id},
           {"time_left_ms", timeLeftMs(Request)},
           {"hold_ms", toMs(HoldUntil - steady_clock::now())},
           {"since_start_ms", toMs(Admission.sinceStart())},
           {"bytes", Bytes},
           {"held", Held.size()},
           {"held_bytes", HeldBytes}});
  ++HeldTotal;
  HeldBytes += Bytes;
  const auto Row = Held.insert(
      Held.end(), held_request{Caller, std::move(Request), Bytes, HoldUntil});
  Caller->watch([this, Row] { drop(Row); }, nullptr);
  startTimer();
}

auto startup_queue::refuse(caller_connection &Caller,
                           const caller_request &Request,
                           std::string_view Reason, duration RetryAfter)
    -> void {
  ++RefusedTotal;
  logInfo(log_category::entry, "request refused",
          {{"request", Request.Id},
           {"status", Unavailable},
           {"reason", Reason},
           {"retry_after_ms", toMs(RetryAfter)},
           {"time_left_ms", timeLeftMs(Request)},
           {"since_start_ms", toMs(Admission.sinceStart())},
           {"waited_ms", toMs(steady_clock::now() - Request.ReceivedAt)},
           {"bytes", bytesOf(Request)},
           {"held", Held.size()},
           {"held_bytes", HeldBytes}});
  Caller.reply(Unavailable, platform::gatewayHeaders(Request.Id, RetryAfter),
               "");
}

auto startup_queue::take(held_list::iterator Row) -> held_request {
  Row->Caller->watch(nullptr, nullptr);
  HeldBytes -= Row->Bytes;
  auto Taken = std::move(*Row);
  Held.erase(Row);
  return Taken;
}

auto startup_queue::drop(held_list::iterator Row) -> void {
  const auto Taken = take(Row);
  ++DroppedTotal;
  logInfo(log_category::entry, "caller disconnected",
          {{"request", Taken.Request.Id},
           {"attempts", 0},
           {"ms", toMs(steady_clock::now() - Taken.Request.ReceivedAt)}});
}

auto startup_queue::refuseExpired() -> void {
  const auto Now = steady_clock::now();
  for (auto Row = Held.begin(); Row != Held.end();) {
    const auto Next = std::next(Row);
    if (Row->HoldUntil <= Now) {
      const auto Taken = take(Row);
      refuse(*Taken.Caller, Taken.Request, "it was held as long as it could be",
             Admission.retryAfter());
    }
    Row = Next;
  }
  startTimer();
}

auto startup_queue::startTimer() -> void {
  if (Held.empty())
    return Timer->stop();
  const auto First = std::min_element(Held.begin(), Held.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.HoldUntil < Right.HoldUntil;
                                      });
  Timer->start(std::max(First->HoldUntil - steady_clock::now(), duration(0)));
}

auto startup_queue::release() -> void {
  if (HandingOver || Held.empty())
    return;
  // The sort is stable: requests without a deadline keep their order.
  Held.sort([](const auto &Left, const auto &Right) {
    return deadlineOf(Left.Request) < deadlineOf(Right.Request);
  });
  // From here on the deadlines of the requests hold, not the limit for holding.
  Timer->stop();
  HandingOver = true;
  handOverSome();
}

auto startup_queue::handOverSome() -> void {
  for (std::size_t Count = 0; Count < MaxHandedOverPerTurn && !Held.empty();
       ++Count) {
    auto Taken = take(Held.begin());
    logDebug(
        log_category::entry, "handing over a held request",
        {{"request", Taken.Request.Id},
         {"waited_ms", toMs(steady_clock::now() - Taken.Request.ReceivedAt)}});
    Handler(Taken.Caller, std::move(Taken.Request));
  }
  if (Held.empty()) {
    HandingOver = false;
    return;
  }
  Loop.defer([this, Guard = std::weak_ptr(Alive)] {
    if (Guard.lock())
      handOverSome();
  });
}

auto startup_queue::refuseAll(std::string_view Reason, duration RetryAfter)
    -> void {
  while (!Held.empty()) {
    const auto Taken = take(Held.begin());
    refuse(*Taken.Caller, Taken.Request, Reason, RetryAfter);
  }
  Timer->stop();
}

} // namespace acacianotch
