/// \file One attempt of an agent to run a request on its backend server.
#include "agent/attempt.h"

#include "catalogue/cbor.h"
#include "net/kj_func.h"

#include <event2/util.h>

namespace acacianotch {

namespace {

constexpr std::size_t MaxBatchBytes = 64ULL * 1024;
/// Largest whole answer and largest stream of a backend server.
constexpr std::size_t MaxAnswerBytes = 8ULL * 1024 * 1024;
constexpr std::size_t MaxStreamBytes = 64ULL * 1024 * 1024;
constexpr std::size_t MaxUnforwardedBytes = 64ULL * 1024;
constexpr int HttpOk = 200;
constexpr int FirstHttpServerError = 500;

auto equalHeaderName(const std::string &Left, const char *Right) -> bool {
  return evutil_ascii_strcasecmp(Left.c_str(), Right) == 0;
}

} // namespace

attempt::attempt(event_loop &TheLoop, http_client &TheBackend,
                 context TheContext, const stream_limits &TheLimits)
    : Loop(TheLoop), Backend(TheBackend), Context(kj::mv(TheContext)),
      Limits(TheLimits), Sink(Context.getParams().getSink()),
      FlushTimer(TheLoop.oneShot([this] { flush(); })),
      Id(toString(request().getRequestId())), Streamed(request().getStreamed()),
      Scanner(request().getHideUsage()) {}

attempt::~attempt() { *Alive = false; }

auto attempt::abandon() -> void {
  *Alive = false;
  FlushTimer->stop();
  Call.reset();
}

auto attempt::callOptions() -> http_call_options {
  const auto Request = request();
  http_call_options Options;
  Options.Method = toString(Request.getMethod());
  Options.Target = toString(Request.getPath());
  Options.Body = toString(Request.getBody());
  Options.Headers = {{"X-Request-Id", Id},
                     {"X-Priority", std::to_string(Request.getPriority())}};
  if (Request.getContentType().size() > 0)
    Options.Headers.emplace_back("Content-Type",
                                 toString(Request.getContentType()));
  Options.SilenceLimit = Limits.StallTimeout;
  Options.MaxBodyBytes = Streamed ? MaxStreamBytes : MaxAnswerBytes;
  // Only idempotent requests reuse an idle connection: the backend server can
  // close it while the request is being written, and whether the request ran
  // would be unknown then.
  Options.ReuseConnection = Request.getIdempotent();
  return Options;
}

auto attempt::start(std::function<void(const attempt_end &)> TheOnEnd) -> void {
  OnEnd = std::move(TheOnEnd);
  StartedAt = steady_clock::now();
  Call = Backend.start(
      callOptions(),
      {[this](int Code, const http_headers &Headers) {
         handleHead(Code, Headers);
       },
       [this](std::string_view Data) { handleData(Data); },
       [this](result<void> Result) { handleEnd(std::move(Result)); }});
}

auto attempt::handleHead(int Code, const http_headers &Headers) -> void {
  Status = Code;
  for (const auto &[Name, Value] : Headers) {
    if (equalHeaderName(Name, "Content-Type"))
      ContentType = Value;
    if (equalHeaderName(Name, "X-Request-Id") && !Value.empty() && Value != Id)
      WrongRequestId = true;
  }
  const auto IsStream = ContentType.rfind("text/event-stream", 0) == 0;
  Forwarding = !WrongRequestId && (!Streamed || (Status == HttpOk && IsStream));
}

auto attempt::handleData(std::string_view Data) -> void {
  if (!FirstByteAt)
    FirstByteAt = steady_clock::now();
  if (!Forwarding) {
    const auto Room = MaxUnforwardedBytes - Body.size();
    Body += Data.substr(0, std::min(Data.size(), Room));
    return;
  }
  if (Streamed) {
    Pending += Scanner.feed(Data);
  } else {
    Pending += Data;
    // The token counts of an answer that is not streamed are parsed at its end.
    if (request().getModel().size() > 0)
      Body += Data;
  }
  const auto FlushDue = steady_clock::now() - FlushedAt >= Limits.FlushInterval;
  if (FlushDue || Pending.size() >= MaxBatchBytes)
    flush();
  else
    FlushTimer->start(Limits.FlushInterval);
}

auto attempt::flush() -> void {
  if (Pending.empty() || SinkFailed)
    return;
  FlushedAt = steady_clock::now();
  send(std::exchange(Pending, {}));
}

// Back pressure: pauses reading from the backend server while the window of
// unacknowledged writes is full.
auto attempt::send(std::string_view Data) -> void {
  auto Write = Sink.writeRequest();
  Write.setRequestId(Id.c_str());
  Write.setOffset(Offset);
  Write.setData(toBytes(Data));
  Offset += Data.size();
  ++InFlight;
  if (InFlight >= Limits.WindowCalls && !Paused) {
    Paused = true;
    Call->pauseReading();
  }
  Write.send()
      .then([this, Guard = Alive](auto &&) {
        if (*Guard)
          handleWriteAck();
      })
      .detach([this, Guard = Alive](kj::Exception &&) {
        if (!*Guard)
          return;
        SinkFailed = true;
        handleWriteAck();
      });
}

auto attempt::handleWriteAck() -> void {
  --InFlight;
  if (Paused && InFlight < Limits.WindowCalls) {
    Paused = false;
    Call->resumeReading();
  }
  finishIfDone();
}

auto attempt::handleEnd(result<void> Result) -> void {
  Ended = std::move(Result);
  FlushTimer->stop();
  flush();
  finishIfDone();
}

auto attempt::finishIfDone() -> void {
  if (!Ended || InFlight > 0 || !OnEnd)
    return;
  Loop.defer([this, Guard = Alive] {
    if (!*Guard || !OnEnd)
      return;
    const auto Callback = std::exchange(OnEnd, nullptr);
    Callback(classifyEnd());
  });
}

auto attempt::classifyEnd() -> attempt_end {
  if (!Ended->ok()) {
    const auto &Error = Ended->error();
    const auto ConnectionLost = Error.Verdict != verdict::not_run;
    return {Error.Code, Error.Detail, Error.Verdict, ConnectionLost};
  }
  if (WrongRequestId)
    return {errc::crossed_answer, "", verdict::may_have_run};
  if (SinkFailed)
    return {errc::cancelled, "the entry stopped reading", verdict::ran};
  const auto IsModel = request().getModel().size() > 0;
  if (IsModel && Status >= FirstHttpServerError)
    return {errc::backend_failed, "HTTP status " + std::to_string(Status),
            verdict::may_have_run};
  if (Streamed && Forwarding && !Scanner.complete())
    return {errc::incomplete_answer, "no end marker", verdict::may_have_run};
  if (IsModel && !Streamed)
    readBodyUsage();
  return {errc::ok, "", verdict::ran};
}

auto attempt::readBodyUsage() -> void {
  const auto Answer = json::parse(Body, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("usage"))
    return;
  const auto &Usage = Answer["usage"];
  if (!Usage.is_object())
    return;
  PromptTokens = countAt(Usage, "prompt_tokens");
  CompletionTokens = countAt(Usage, "completion_tokens");
}

auto attempt::fillOutcome(const attempt_end &End) -> void {
  auto Outcome = Context.getResults().initOutcome();
  Outcome.setRequestId(Id.c_str());
  Outcome.setVerdict(static_cast<std::uint8_t>(End.Verdict));
  Outcome.setError(static_cast<std::uint16_t>(End.Code));
  Outcome.setDetail(End.Detail.c_str());
  Outcome.setHttpStatus(static_cast<std::uint16_t>(Status));
  Outcome.setContentType(ContentType.c_str());
  Outcome.setBytes(Offset);
  const auto Scanned = Streamed && Forwarding;
  Outcome.setPromptTokens(Scanned ? Scanner.promptTokens() : PromptTokens);
  Outcome.setCompletionTokens(Scanned ? Scanner.completionTokens()
                                      : CompletionTokens);
  if (FirstByteAt)
    Outcome.setFirstTokenUs(
        static_cast<std::uint64_t>((*FirstByteAt - StartedAt).count()));
  if (!Forwarding)
    Outcome.setBody(toBytes(Body));
}

} // namespace acacianotch
