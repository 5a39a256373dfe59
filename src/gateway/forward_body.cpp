/// \file The body of an answer: held back, or passed on as it arrives.
#include "gateway/forward_task.h"

#include "platform/request_codec.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Bytes buffered for a slow caller before reading from the backend server is
/// paused.
constexpr std::size_t MaxUnsentBytes = 128ULL * 1024;
/// The same while the memory is used up.
constexpr std::size_t MaxUnsentBytesWhenFull = 16ULL * 1024;
/// Largest body of an answer, except for streams.
constexpr std::size_t MaxBodyBytes = 8ULL * 1024 * 1024;
/// Largest event of a stream, which is held back until it is complete. The
/// second limit applies while the memory for answers is used up.
constexpr std::size_t MaxEventBytes = 1024ULL * 1024;
constexpr std::size_t MaxEventBytesWhenFull = 64ULL * 1024;
/// Bytes read of a body that nobody gets.
constexpr std::size_t MaxUnneededBytes = 64ULL * 1024;

/// Events of a stream after which its pace is known.
constexpr std::uint32_t PaceEvents = 8;
/// An event carries a token or more, so that a stream has no more events than
/// the tokens that the request allows. The margin covers events without tokens.
constexpr std::uint32_t EventsPerToken = 2;
constexpr std::uint32_t MoreEvents = 64;

constexpr int ServerError = 500;

} // namespace

auto forward_task::beginStream() -> void {
  Attempt->StreamsBody = true;
  Attempt->Channel->limitRate();
  if (std::exchange(StreamStarted, true)) {
    ++Context.Counters.Resumed;
    return;
  }
  Caller->startStream(Attempt->Facts.Status,
                      platform::callerHeaders(Attempt->Head));
}

// -1 stands for an unknown length. The answer to HEAD states that of another
// one's body.
auto forward_task::statesExcessiveLength() const -> bool {
  return !Attempt->Facts.NotRun && Request.Method != "HEAD" &&
         Attempt->Head.Length > static_cast<std::int64_t>(MaxBodyBytes);
}

auto forward_task::handleBody(std::string_view Data) -> void {
  Attempt->BodyBytes += Data.size();
  if (Attempt->StreamsBody)
    return handleStreamData(Data);
  // The head alone states what became of the request.
  if (Attempt->Facts.NotRun) {
    if (Attempt->BodyBytes > MaxUnneededBytes)
      handleRejection(false);
    return;
  }
  if (Attempt->BodyBytes > MaxBodyBytes)
    return endExcessive("the answer is too large");
  if (Attempt->PassesBody) {
    Caller->write(Data);
    return pauseIfBehind();
  }
  // A body is held back while there is memory, so that the request can be
  // repeated, or rejected as a whole, if it breaks off.
  Attempt->Body.append(Data);
  Attempt->Held.resize(Attempt->Body.capacity());
  auto &Memory = Context.Memory;
  if (Memory.full() || Attempt->Body.size() > Memory.limit() / 2)
    passBody();
}

// Once its head is out, the answer cannot be replaced by that of another
// server. An error, which nobody needs whole, is replaced if possible.
auto forward_task::passBody() -> void {
  if (StreamStarted)
    return endExcessive("an error in a stream is too large");
  const auto MayRepeat = AttemptsSent + 1 < Route->MaxAttempts;
  if (Attempt->Facts.Status >= ServerError && MayRepeat && tryAcquireRetry()) {
    logDroppedAnswer();
    recordOutcome(true);
    revertToServing();
    releaseAttempt(false);
    ++AttemptsSent;
    MayHaveRun = true;
    return startNextAttempt();
  }
  Attempt->PassesBody = true;
  StreamStarted = true;
  AnswerPassed = true;
  StallTimer->stop();
  Caller->startStream(Attempt->Facts.Status,
                      platform::callerHeaders(Attempt->Head));
  Caller->write(std::exchange(Attempt->Body, {}));
  Attempt->Held.resize(0);
  pauseIfBehind();
}

auto forward_task::pauseIfBehind() -> void {
  const auto Limit =
      Context.Memory.full() ? MaxUnsentBytesWhenFull : MaxUnsentBytes;
  if (Paused || Caller->unsentBytes() <= Limit)
    return;
  Paused = true;
  Attempt->Channel->pauseReading();
}

/// Ends an attempt whose answer no working server sends. One answer is enough
/// to send the server less work: each further one costs as much.
auto forward_task::endExcessive(std::string_view Detail) -> void {
  Context.Directory.recordExcessiveAnswer(Attempt->Backend);
  handleFailure(
      {errc::protocol_error, std::string(Detail), verdict::may_have_run});
}

auto forward_task::handleStreamData(std::string_view Data) -> void {
  Events.add(Data);
  Attempt->Held.resize(Events.pendingBytes());
  const auto Limit =
      Context.Memory.full() ? MaxEventBytesWhenFull : MaxEventBytes;
  if (Events.pendingBytes() > Limit)
    return endExcessive("an event is too large");
  forwardEvents();
}

// Bytes that complete no event are no progress: a faulty server may send them
// without end.
auto forward_task::forwardEvents() -> void {
  const auto Complete = Events.takeEvents();
  if (Complete.empty())
    return;
  Attempt->Held.resize(Events.pendingBytes());
  if (hasTooManyEvents()) {
    // No other server knows where these events would go on.
    AnswerPassed = true;
    return endExcessive("a stream has more events than tokens");
  }
  Context.Directory.recordProgress(Attempt->Backend);
  Attempt->LastDataAt = steady_clock::now();
  startStallTimer();
  recordEventTimes();
  recordAnswerAfterOnset();
  if (Events.count() - Attempt->EventsBefore >= PaceEvents)
    recordPace();
  Caller->write(Complete);
  pauseIfBehind();
}

auto forward_task::hasTooManyEvents() const -> bool {
  const auto Tokens = Request.MaxOutputTokens;
  const auto Received = Events.count() - Attempt->EventsBefore;
  return Tokens > 0 &&
         Received > std::uint64_t{EventsPerToken} * Tokens + MoreEvents;
}

auto forward_task::recordEventTimes() -> void {
  const auto Now = steady_clock::now();
  if (LastEventAt == time_point{})
    FirstEventDelay = Now - Request.ReceivedAt;
  else
    LongestGap = std::max(LongestGap, Now - LastEventAt);
  LastEventAt = Now;
}

} // namespace acacianotch
