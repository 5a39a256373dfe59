/// \file One connection from a gateway to a backend server.
#include "gateway/backend_channel.h"

#include "net/delivery_func.h"
#include "net/http_write.h"
#include "net/socket_func.h"
#include "platform/request_codec.h"

namespace acacianotch {

namespace {

/// A connection is set up in a few milliseconds. TCP repeats a lost SYN packet
/// only after a second; another backend server answers sooner.
constexpr duration ConnectTimeout = std::chrono::milliseconds(250);
/// TCP liveness timeout in seconds: the connection of an unreachable backend
/// server is closed after it.
constexpr int LivenessSeconds = 6;
/// Time before the idle timeout stated by the backend server in which a
/// connection is no longer reused, because a new request could cross with the
/// close.
constexpr duration IdleMargin = std::chrono::seconds(1);
/// Idle time after which a connection is not reused if the server states none.
constexpr duration DefaultIdleLimit = std::chrono::seconds(4);
/// Largest head of an answer in bytes.
constexpr std::size_t MaxHeadBytes = 64ULL * 1024;

/// Bytes before the head of the awaited answer: interim answers, and late ones
/// to earlier requests.
constexpr std::size_t MaxUnrelatedBytes = 1024ULL * 1024;

/// Reading of a stream. Events of some hundred bytes come a few hundred times
/// a second at most.
constexpr std::size_t TicksPerSecond = 10;
constexpr timeval RateTick{0, 1'000'000 / TicksPerSecond};
constexpr std::size_t StreamBytesPerSecond = 256ULL * 1024;
constexpr std::size_t StreamBurstBytes = 512ULL * 1024;

auto notRun(std::string Detail) -> failure {
  return {errc::backend_unreachable, std::move(Detail), verdict::not_run};
}

} // namespace

auto backend_channel::connect(event_loop &Loop, const address &Address)
    -> result<std::shared_ptr<backend_channel>> {
  auto Fd = connectTo(Address);
  if (!Fd)
    return notRun(Fd.error().Detail);
  setLiveness(Fd->fd(), LivenessSeconds);
  return std::shared_ptr<backend_channel>(
      new backend_channel(Loop, Fd->release()));
}

backend_channel::backend_channel(event_loop &TheLoop, int Fd)
    : Loop(TheLoop),
      Socket(bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE)),
      Reader(http_message::answer, MaxHeadBytes,
             {[this](http_head &&Head) { handleHead(std::move(Head)); },
              [this](std::string_view Data) { handleBody(Data); },
              [this] { handleAnswerEnd(); }}),
      ConnectTimer(Loop.oneShot([this] {
        const auto Self = shared_from_this();
        fail(errc::backend_unreachable, "the connection was not accepted");
      })) {
  bufferevent_setcb(Socket.get(), onRead, nullptr, onEvent, this);
  // Makes libevent report when the pending connection is established.
  bufferevent_socket_connect(Socket.get(), nullptr, 0);
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  ConnectTimer->start(ConnectTimeout);
}

backend_channel::~backend_channel() = default;

auto backend_channel::start(const channel_call &Call, channel_events TheEvents)
    -> void {
  Events = std::move(TheEvents);
  RequestId = Call.RequestId;
  HasCall = true;
  Skipping = false;
  AnswerBegan = false;
  UnrelatedBytes = 0;
  if (State == state::idle)
    State = state::busy;
  Reader.expectNoBody(Call.Method == "HEAD");
  auto *Output = bufferevent_get_output(Socket.get());
  appendText(Output, Call.Method);
  appendText(Output, " ");
  appendText(Output, Call.Target);
  appendText(Output, " HTTP/1.1\r\n");
  auto Headers = Call.Headers;
  const auto HasBody = !Call.Body.empty() || Call.Method != "GET";
  if (HasBody)
    Headers.emplace_back("Content-Length", std::to_string(Call.Body.size()));
  appendHeaders(Output, Headers);
  appendText(Output, Call.Body);
}

auto backend_channel::cancel() -> void {
  HasCall = false;
  Events = {};
  close();
}

auto backend_channel::failIfUnsent() -> void {
  if (State == state::connecting && HasCall)
    fail(errc::backend_leaving, "the backend server takes no new work");
}

auto backend_channel::pauseReading() -> void {
  if (State != state::closed)
    bufferevent_disable(Socket.get(), EV_READ);
}

auto backend_channel::resumeReading() -> void {
  if (State != state::closed)
    bufferevent_enable(Socket.get(), EV_READ);
}

// A server that sends events without end would take the link and the processor
// from the other callers.
auto backend_channel::limitRate() -> void {
  static auto *const Rate = ev_token_bucket_cfg_new(
      StreamBytesPerSecond / TicksPerSecond, StreamBurstBytes,
      EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &RateTick);
  if (State != state::closed)
    RateLimited = bufferevent_set_rate_limit(Socket.get(), Rate) == 0;
}

auto backend_channel::reusable(time_point Now) const -> bool {
  const auto Limit = IdleLimit ? std::max(*IdleLimit - IdleMargin, IdleMargin)
                               : DefaultIdleLimit;
  return State == state::idle && Now - IdleSince < Limit &&
         evbuffer_get_length(bufferevent_get_input(Socket.get())) == 0;
}

auto backend_channel::onRead(bufferevent * /*Event*/, void *Self) -> void {
  const auto Channel = static_cast<backend_channel *>(Self)->shared_from_this();
  Channel->process();
}

auto backend_channel::onEvent(bufferevent * /*Event*/, short What, void *Self)
    -> void {
  const auto Channel = static_cast<backend_channel *>(Self)->shared_from_this();
  if ((What & BEV_EVENT_CONNECTED) != 0)
    return Channel->handleConnected();
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Channel->handleClosed((What & BEV_EVENT_EOF) != 0);
}

// After the process has stood still, the event of the connection comes before
// the expired timer. The request would be sent late, when what allowed it may
// not hold any more.
auto backend_channel::handleConnected() -> void {
  if (steady_clock::now() - ConnectingSince > 2 * ConnectTimeout)
    return fail(errc::backend_unreachable, "the connection was set up late");
  Connected = true;
  ConnectTimer->stop();
  State = HasCall ? state::busy : state::idle;
  if (ConnectedCallback)
    ConnectedCallback(ConnectingSince);
}

auto backend_channel::process() -> void {
  auto *Input = bufferevent_get_input(Socket.get());
  while (State == state::busy && evbuffer_get_length(Input) > 0) {
    const auto Before = evbuffer_get_length(Input);
    if (auto Done = Reader.read(Input); !Done)
      return fail(errc::protocol_error, Done.error().Detail);
    if (State == state::closed || evbuffer_get_length(Input) == Before)
      return;
    if (!AnswerBegan)
      UnrelatedBytes += Before - evbuffer_get_length(Input);
    if (UnrelatedBytes > MaxUnrelatedBytes)
      return fail(errc::protocol_error, "too many bytes before the answer");
  }
  // Bytes after a complete answer belong to no request.
  if (State == state::idle && evbuffer_get_length(Input) > 0)
    close();
}

auto backend_channel::handleHead(http_head &&Head) -> void {
  constexpr int FirstFinalStatus = 200;
  if (!HasCall)
    return;
  if (Head.Status < FirstFinalStatus) {
    Skipping = true;
    return;
  }
  const auto Facts = platform::decodeAnswer(Head);
  if (HeadCallback)
    HeadCallback(Facts);
  // A duplicate or late answer carries the id of an earlier request.
  Skipping = !Facts.RequestId.empty() && Facts.RequestId != RequestId;
  if (Skipping)
    return;
  AnswerBegan = true;
  KeepAlive = Head.KeepAlive && !Head.EndsWithConnection;
  IdleLimit = Facts.IdleLimit;
  // Without an id even a refusal may be that of an earlier request.
  if (Facts.RequestId.empty())
    return fail(errc::crossed_answer, "the answer states no request");
  // Copied, because the callback may cancel the call, which clears Events.
  if (const auto Callback = Events.OnHead)
    Callback(Facts, std::move(Head));
}

auto backend_channel::handleBody(std::string_view Data) -> void {
  if (!HasCall || Skipping)
    return;
  if (const auto Callback = Events.OnBody)
    Callback(Data);
}

auto backend_channel::handleAnswerEnd() -> void {
  if (!HasCall || std::exchange(Skipping, false))
    return;
  const auto RequestSent =
      evbuffer_get_length(bufferevent_get_output(Socket.get())) == 0;
  if (std::exchange(RateLimited, false))
    bufferevent_set_rate_limit(Socket.get(), nullptr);
  if (KeepAlive && RequestSent) {
    State = state::idle;
    IdleSince = steady_clock::now();
  } else {
    close();
  }
  end({});
}

// A body without a length ends with the connection. A server that ends it
// before it has the whole request has broken off, even if it closes in an
// orderly way.
auto backend_channel::handleClosed(bool Clean) -> void {
  constexpr auto Closed = "the backend server closed the connection";
  if (!Connected)
    return fail(errc::backend_unreachable, Closed);
  const auto Delivered = !hasUndeliveredOutput(Socket.get());
  if (HasCall && Clean && Delivered && !Skipping && Reader.finish())
    return;
  fail(errc::incomplete_answer,
       Delivered ? Closed
                 : "the backend server reset the connection, or closed it "
                   "before it had the whole request");
}

auto backend_channel::fail(errc Code, std::string Detail) -> void {
  const auto Verdict = Connected ? verdict::may_have_run : verdict::not_run;
  close();
  end(failure{Code, std::move(Detail), Verdict});
}

auto backend_channel::end(result<void> Result) -> void {
  if (!std::exchange(HasCall, false))
    return;
  const auto Callback = std::move(Events.OnEnd);
  Events = {};
  if (Callback)
    Callback(std::move(Result));
}

auto backend_channel::close() -> void {
  if (State == state::closed)
    return;
  State = state::closed;
  ConnectTimer->stop();
  bufferevent_setcb(Socket.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(Socket.get(), EV_READ | EV_WRITE);
  Loop.defer([Self = shared_from_this()] { Self->Socket.reset(); });
}

} // namespace acacianotch
