/// \file One attempt of a request at an agent.
#include "agent/attempt.h"

#include "net/kj_func.h"

#include <event2/util.h>
#include <nlohmann/json.hpp>

namespace acacianotch {

namespace {

constexpr std::size_t MaxBatchBytes = 64ULL * 1024;
constexpr std::size_t MaxUnforwardedBytes = 64ULL * 1024;
constexpr int HttpOk = 200;
constexpr int HttpServerErrors = 500;

auto equalName(const std::string &Left, const char *Right) -> bool {
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
  Options.SilenceLimit = Limits.Silence;
  // An idle connection can close while the request is being written, which
  // would leave its outcome unknown without need.
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
    if (equalName(Name, "Content-Type"))
      ContentType = Value;
    if (equalName(Name, "X-Request-Id") && !Value.empty() && Value != Id)
      Crossed = true;
  }
  const auto IsStream = ContentType.rfind("text/event-stream", 0) == 0;
  Forwards = !Crossed && (!Streamed || (Status == HttpOk && IsStream));
}

auto attempt::handleData(std::string_view Data) -> void {
  if (!FirstByteAt)
    FirstByteAt = steady_clock::now();
  if (!Forwards) {
    const auto Room = MaxUnforwardedBytes - Body.size();
    Body += Data.substr(0, std::min(Data.size(), Room));
    return;
  }
  if (Streamed) {
    Pending += Scanner.feed(Data);
  } else {
    Pending += Data;
    // The token counts of a whole answer are read at its end.
    if (request().getModel().size() > 0)
      Body += Data;
  }
  const auto Due = steady_clock::now() - FlushedAt >= Limits.Batch;
  if (Due || Pending.size() >= MaxBatchBytes)
    flush();
  else
    FlushTimer->start(Limits.Batch);
}

auto attempt::flush() -> void {
  if (Pending.empty() || SinkFailed)
    return;
  FlushedAt = steady_clock::now();
  send(std::exchange(Pending, {}));
}

// The window of unacknowledged writes is the back pressure: reading from the
// backend server stops while it is full.
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
          acknowledged();
      })
      .detach([this, Guard = Alive](kj::Exception &&) {
        if (!*Guard)
          return;
        SinkFailed = true;
        acknowledged();
      });
}

auto attempt::acknowledged() -> void {
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
    Callback(judge());
  });
}

auto attempt::judge() -> attempt_end {
  if (!Ended->ok()) {
    const auto &Error = Ended->error();
    const auto Broken = Error.Verdict != verdict::not_run;
    return {Error.Code, Error.Detail, Error.Verdict, Broken};
  }
  if (Crossed)
    return {errc::crossed_answer, "", verdict::may_have_run};
  if (SinkFailed)
    return {errc::cancelled, "the entry stopped reading", verdict::ran};
  const auto IsModel = request().getModel().size() > 0;
  if (IsModel && Status >= HttpServerErrors)
    return {errc::backend_failed, "HTTP status " + std::to_string(Status),
            verdict::may_have_run};
  if (Streamed && Forwards && !Scanner.complete())
    return {errc::incomplete_answer, "no end marker", verdict::may_have_run};
  if (IsModel && !Streamed)
    readWholeUsage();
  return {errc::ok, "", verdict::ran};
}

auto attempt::readWholeUsage() -> void {
  const auto Answer = nlohmann::json::parse(Body, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("usage"))
    return;
  const auto &Usage = Answer["usage"];
  if (!Usage.is_object())
    return;
  PromptTokens = Usage.value("prompt_tokens", std::uint64_t{0});
  CompletionTokens = Usage.value("completion_tokens", std::uint64_t{0});
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
  const auto Scanned = Streamed && Forwards;
  Outcome.setPromptTokens(Scanned ? Scanner.promptTokens() : PromptTokens);
  Outcome.setCompletionTokens(Scanned ? Scanner.completionTokens()
                                      : CompletionTokens);
  if (FirstByteAt)
    Outcome.setFirstTokenUs(
        static_cast<std::uint64_t>((*FirstByteAt - StartedAt).count()));
  if (!Forwards)
    Outcome.setBody(toBytes(Body));
}

} // namespace acacianotch
