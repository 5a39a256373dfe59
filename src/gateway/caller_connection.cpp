/// \file One caller's connection to a gateway.
#include "gateway/caller_connection.h"

#include "core/log_func.h"
#include "net/http_write.h"
#include "net/socket_func.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <sys/socket.h>

namespace acacianotch {

namespace {

/// Input read ahead, unless a head may be larger; TCP flow control holds back a
/// caller that sends more.
constexpr std::size_t MaxReadAheadBytes = 16ULL * 1024;
/// A body is held for repeated attempts and copied into the output buffer for
/// the backend server.
constexpr std::size_t BodyCopies = 2;
/// A body's buffer grows by this part of its size. Growing by its whole size
/// would hold twice the memory of what has arrived.
constexpr std::size_t BodyGrowthDivisor = 4;
/// Input is still read for this long after the last answer: closing a socket
/// with unread input resets the connection, and the caller could lose the
/// answer.
constexpr duration LingerTime = std::chrono::seconds(1);
/// TCP liveness timeout in seconds: an idle connection is probed and that of an
/// unreachable caller is closed.
constexpr int LivenessSeconds = 10;

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int BodyTooLarge = 413;
constexpr int HeadTooLarge = 431;
constexpr int Unavailable = 503;

} // namespace

caller_connection::caller_connection(event_loop &TheLoop, int Fd,
                                     const caller_limits &TheLimits,
                                     std::shared_ptr<memory_budget> TheMemory,
                                     caller_events TheEvents)
    : Loop(TheLoop), Limits(TheLimits), Events(std::move(TheEvents)),
      Memory(std::move(TheMemory)), Charge(Memory),
      Socket(bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE)),
      Reader(http_message::request, Limits.HeaderBytes,
             {[this](http_head &&Head) { handleHead(std::move(Head)); },
              [this](std::string_view Data) { handleBody(Data); },
              [this] { handleEnd(); }}),
      Timer(Loop.oneShot([this] { handleTimeout(); })) {
  setLiveness(Fd, LivenessSeconds);
  bufferevent_setcb(Socket.get(), onRead, onWritten, onEvent, this);
  evbuffer_add_cb(input(), onInputChange, this);
  evbuffer_add_cb(output(), onOutputChange, this);
  setReadAhead();
}

caller_connection::~caller_connection() { removeBufferCallbacks(); }

auto caller_connection::removeBufferCallbacks() -> void {
  if (!Socket)
    return;
  evbuffer_remove_cb(input(), onInputChange, this);
  evbuffer_remove_cb(output(), onOutputChange, this);
}

// A head that is too large must fit, to be recognized.
auto caller_connection::setReadAhead() -> void {
  bufferevent_setwatermark(Socket.get(), EV_READ, 0,
                           std::max(MaxReadAheadBytes, Limits.HeaderBytes + 1));
}

auto caller_connection::onInputChange(evbuffer * /*Input*/,
                                      const evbuffer_cb_info * /*Info*/,
                                      void *Self) -> void {
  static_cast<caller_connection *>(Self)->updateCharge();
}

auto caller_connection::onOutputChange(evbuffer * /*Output*/,
                                       const evbuffer_cb_info *Info, void *Self)
    -> void {
  auto *Connection = static_cast<caller_connection *>(Self);
  if (Info->n_deleted > 0 || Info->orig_size == 0)
    Connection->OutputTakenAt = steady_clock::now();
  Connection->updateCharge();
}

auto caller_connection::updateCharge() -> void {
  Charge.resize(evbuffer_get_length(input()) + evbuffer_get_length(output()));
}

auto caller_connection::use() const -> connection_use {
  connection_use Use;
  if (State == state::closed)
    return Use;
  const auto Now = steady_clock::now();
  if (State == state::reading && Request != nullptr)
    Use.BodyBytes = Request->Charge->bytes();
  Use.UnreadBytes = unsentBytes();
  if (Use.UnreadBytes > 0)
    Use.Unread = Now - OutputTakenAt;
  else if (State == state::reading && !reading())
    Use.Idle = Now - IdleSince;
  return Use;
}

auto caller_connection::refuseBody() -> void {
  if (State != state::reading || Request == nullptr)
    return;
  refuse(Unavailable, "the memory for requests is used up",
         platform::gatewayHeaders(Request->Id, GatewayRefusalRetryAfter));
}

auto caller_connection::start() -> void {
  IdleSince = steady_clock::now();
  bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  startTimer();
}

auto caller_connection::watch(std::function<void()> TheDisconnected,
                              std::function<void()> TheDrained) -> void {
  Disconnected = std::move(TheDisconnected);
  Drained = std::move(TheDrained);
}

auto caller_connection::unsentBytes() const -> std::size_t {
  return State == state::closed ? 0 : evbuffer_get_length(output());
}

auto caller_connection::reading() const -> bool {
  return State == state::reading &&
         (Reader.inMessage() || evbuffer_get_length(input()) > 0);
}

auto caller_connection::onRead(bufferevent * /*Event*/, void *Self) -> void {
  auto Connection = static_cast<caller_connection *>(Self)->shared_from_this();
  Connection->process();
}

auto caller_connection::onWritten(bufferevent * /*Event*/, void *Self) -> void {
  auto Connection = static_cast<caller_connection *>(Self)->shared_from_this();
  if (Connection->CloseAfterWrite && Connection->State != state::lingering)
    return Connection->linger();
  if (Connection->Drained)
    Connection->Drained();
  // The next request may already be in the input buffer.
  if (Connection->State == state::reading)
    Connection->process();
}

auto caller_connection::onEvent(bufferevent * /*Event*/, short What, void *Self)
    -> void {
  auto Connection = static_cast<caller_connection *>(Self)->shared_from_this();
  if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Connection->handleDisconnect();
}

auto caller_connection::handleDisconnect() -> void {
  auto Callback = std::exchange(Disconnected, nullptr);
  Drained = nullptr;
  close();
  if (Callback)
    Callback();
}

auto caller_connection::process() -> void {
  auto *Input = input();
  if (State == state::lingering) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while (State == state::reading && evbuffer_get_length(Input) > 0) {
    const auto WasReading = Reader.inMessage();
    // Answers must not collect for a caller that does not read them.
    if (!WasReading && unsentBytes() > 0)
      return;
    const auto Done = Reader.read(Input);
    if (State != state::reading)
      return;
    if (!Done)
      return refuse(Done.error().Code == errc::body_too_large ? HeadTooLarge
                                                              : BadRequest,
                    Done.error().Detail);
    if ((!WasReading && Reader.inMessage()) ||
        std::exchange(BodyArrived, false))
      startTimer();
    if (Reader.inBody() && Memory->full() && Events.OnMemoryFull)
      Events.OnMemoryFull();
    if (!Reader.inBody())
      return;
    if (evbuffer_get_length(Input) == 0)
      return;
  }
}

auto caller_connection::handleHead(http_head &&Head) -> void {
  KeepAlive = Head.KeepAlive;
  const auto ExpectsContinue = Head.find("Expect") != nullptr;
  const auto BodyIsTooLarge =
      Head.Length > 0 &&
      static_cast<std::uint64_t>(Head.Length) > Limits.BodyBytes;
  if (BodyIsTooLarge)
    return refuse(BodyTooLarge, "the body is too large");
  const auto Length = Head.Length;
  auto Decoded = platform::decodeRequest(std::move(Head));
  if (!Decoded)
    return refuse(BadRequest, Decoded.error().Detail);
  Request = std::make_unique<caller_request>(std::move(Decoded).value());
  Request->Charge = std::make_shared<memory_charge>(Memory);
  BodyLimit = Length > 0 ? static_cast<std::size_t>(Length) : Limits.BodyBytes;
  if (ExpectsContinue)
    appendText(output(), "HTTP/1.1 100 Continue\r\n\r\n");
  startTimer();
}

auto caller_connection::handleBody(std::string_view Data) -> void {
  if (State != state::reading || Request == nullptr)
    return;
  if (Request->Body.size() + Data.size() > Limits.BodyBytes)
    return refuse(BodyTooLarge, "the body is too large");
  appendBody(Data);
  BodyArrived = true;
}

// std::string::reserve() would at least double the capacity.
auto caller_connection::appendBody(std::string_view Data) -> void {
  auto &Body = Request->Body;
  const auto Size = Body.size() + Data.size();
  if (Size > Body.capacity()) {
    std::string Larger;
    Larger.reserve(
        std::max(Size, std::min(BodyLimit, Size + Size / BodyGrowthDivisor)));
    Larger.append(Body);
    Body = std::move(Larger);
  }
  Body.append(Data);
  Request->Charge->resize(BodyCopies * Body.capacity());
}

auto caller_connection::handleEnd() -> void {
  if (State != state::reading || Request == nullptr)
    return;
  State = state::answering;
  Timer->stop();
  auto Received = std::move(*Request);
  Request.reset();
  Received.ReceivedAt = steady_clock::now();
  Events.OnRequest(shared_from_this(), std::move(Received));
}

// The connection closes after the answer, because the end of the refused
// request is not known.
auto caller_connection::refuse(int Status, std::string_view Reason,
                               const http_headers &Headers) -> void {
  logInfo(log_category::http, "refused a malformed or incomplete request",
          {{"request", Request ? Request->Id : ""},
           {"status", Status},
           {"reason", Reason},
           {"body_bytes", Request ? Request->Body.size() : 0},
           {"memory_used", Memory->used()}});
  Request.reset();
  State = state::answering;
  Closing = true;
  reply(Status, Headers, "");
}

auto caller_connection::reply(int Status, const http_headers &Headers,
                              std::string_view Body) -> void {
  if (State != state::answering)
    return;
  auto AllHeaders = Headers;
  AllHeaders.emplace_back("Content-Length", std::to_string(Body.size()));
  if (Closing || !KeepAlive)
    AllHeaders.emplace_back("Connection", "close");
  appendStatusLine(output(), Status);
  appendHeaders(output(), AllHeaders);
  appendText(output(), Body);
  finishAnswer();
}

auto caller_connection::startStream(int Status, const http_headers &Headers)
    -> void {
  if (State != state::answering)
    return;
  auto AllHeaders = Headers;
  AllHeaders.emplace_back("Transfer-Encoding", "chunked");
  if (Closing || !KeepAlive)
    AllHeaders.emplace_back("Connection", "close");
  appendStatusLine(output(), Status);
  appendHeaders(output(), AllHeaders);
}

auto caller_connection::write(std::string_view Data) -> void {
  if (State == state::answering)
    appendChunk(output(), Data);
}

auto caller_connection::endStream() -> void {
  if (State != state::answering)
    return;
  appendLastChunk(output());
  finishAnswer();
}

auto caller_connection::finishAnswer() -> void {
  Disconnected = nullptr;
  Drained = nullptr;
  if (Closing || !KeepAlive) {
    CloseAfterWrite = true;
    return;
  }
  State = state::reading;
  IdleSince = steady_clock::now();
  startTimer();
}

auto caller_connection::abort() -> void {
  Disconnected = nullptr;
  Drained = nullptr;
  close();
}

// The output buffer may still hold a part of the last answer.
auto caller_connection::closeIfIdle() -> void {
  if (State != state::reading || reading())
    return;
  if (unsentBytes() == 0)
    return close();
  Timer->stop();
  State = state::answering;
  CloseAfterWrite = true;
}

// Callers go by the new limits on connections that they keep, also by the time
// for which these may be idle.
auto caller_connection::setLimits(const caller_limits &Values) -> void {
  Limits = Values;
  Reader.setMaxHeadBytes(Limits.HeaderBytes);
  setReadAhead();
  if (State == state::reading && !Reader.inMessage())
    startTimer();
}

auto caller_connection::startTimer() -> void {
  const auto InHead = Reader.inMessage() && !Reader.inBody();
  Timer->start(InHead ? Limits.HeaderReadTimeout
                      : Limits.ConnectionIdleTimeout);
}

auto caller_connection::handleTimeout() -> void {
  const auto Self = shared_from_this();
  if (State == state::lingering)
    return close();
  if (State != state::reading)
    return;
  if (!Reader.inMessage())
    return close();
  refuse(RequestTimeout, "the request did not arrive in time");
}

auto caller_connection::linger() -> void {
  State = state::lingering;
  ::shutdown(bufferevent_getfd(Socket.get()), SHUT_WR);
  Timer->start(LingerTime);
  process();
}

auto caller_connection::close() -> void {
  if (State == state::closed)
    return;
  State = state::closed;
  Timer->stop();
  Request.reset();
  removeBufferCallbacks();
  Charge.resize(0);
  bufferevent_disable(Socket.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(Socket.get(), nullptr, nullptr, nullptr, nullptr);
  // Deferred, because functions further up the stack may still use this object.
  Loop.defer([Self = shared_from_this()] { Self->Socket.reset(); });
  Events.OnClosed(*this);
}

} // namespace acacianotch
