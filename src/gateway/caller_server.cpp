/// \file Accepts connections of callers.
#include "gateway/caller_server.h"

#include "core/log_func.h"
#include "net/http_write.h"
#include "net/socket_func.h"
#include "platform/request_codec.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// Interval at which unread answers are looked for.
constexpr duration MemoryInterval = std::chrono::seconds(1);
/// Input that is read before a new connection is refused: closing a socket with
/// unread input resets the connection, and the caller could lose the answer.
constexpr std::size_t RefusedInputBytes = 4096;

constexpr int Unavailable = 503;

auto usesOf(const std::vector<std::shared_ptr<caller_connection>> &Connections)
    -> std::vector<connection_use> {
  std::vector<connection_use> Uses;
  Uses.reserve(Connections.size());
  for (const auto &Connection : Connections)
    Uses.push_back(Connection->use());
  return Uses;
}

} // namespace

auto caller_server::create(event_loop &Loop, const address &Address,
                           request_handler Handler, caller_bounds Bounds)
    -> result<std::unique_ptr<caller_server>> {
  auto Socket = listenOn(Address);
  if (!Socket)
    return Socket.error();
  std::unique_ptr<caller_server> Server(
      new caller_server(Loop, std::move(Handler), std::move(Bounds)));
  // The socket is already listening; a backlog of 0 keeps libevent from calling
  // listen() again.
  Server->Listener.reset(evconnlistener_new(
      Loop.base(), onAccept, Server.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, Socket->release()));
  return Server;
}

caller_server::caller_server(event_loop &TheLoop, request_handler TheHandler,
                             caller_bounds TheBounds)
    : Loop(TheLoop), Handler(std::move(TheHandler)),
      Bounds(std::move(TheBounds)), MemoryTimer(TheLoop.repeating([this] {
        if (Bounds.Memory->full())
          freeMemory();
      })) {
  MemoryTimer->start(MemoryInterval);
}

caller_server::~caller_server() = default;

auto caller_server::port() const -> std::uint16_t {
  return boundPort(evconnlistener_get_fd(Listener.get()));
}

auto caller_server::onAccept(evconnlistener * /*Listener*/, evutil_socket_t Fd,
                             sockaddr * /*Peer*/, int /*Length*/, void *Self)
    -> void {
  static_cast<caller_server *>(Self)->accept(Fd);
}

auto caller_server::accept(int Fd) -> void {
  evutil_make_socket_nonblocking(Fd);
  if (Connections.size() >= Bounds.Connections && !closeReplaced())
    return refuseConnection(Fd);
  caller_events Events;
  Events.OnRequest = [this](const auto &Caller, caller_request &&Request) {
    Handler(Caller, std::move(Request));
  };
  Events.OnClosed = [this](caller_connection &Closed) {
    Connections.erase(&Closed);
  };
  Events.OnMemoryFull = [this] { freeMemory(); };
  auto Connection = std::make_shared<caller_connection>(
      Loop, Fd, Limits, Bounds.Memory, std::move(Events));
  Connections.emplace(Connection.get(), Connection);
  if (Closing)
    Connection->closeAfterAnswer();
  Connection->start();
}

auto caller_server::setLimits(const caller_limits &Values) -> void {
  Limits = Values;
  for (const auto &[Key, Connection] : Connections)
    Connection->setLimits(Values);
}

auto caller_server::closeAfterAnswers() -> void {
  Closing = true;
  for (const auto &[Key, Connection] : Connections)
    Connection->closeAfterAnswer();
}

auto caller_server::closeIdle() -> void {
  for (const auto &Connection : openConnections())
    Connection->closeIfIdle();
}

// Connections that are closed leave the table, so it cannot be walked then.
auto caller_server::openConnections() const -> connection_list {
  connection_list Open;
  Open.reserve(Connections.size());
  for (const auto &[Key, Connection] : Connections)
    Open.push_back(Connection);
  return Open;
}

auto caller_server::freeMemory() -> void {
  dropBodies();
  if (Bounds.Memory->full())
    dropUnread();
}

auto caller_server::dropBodies() -> void {
  const auto Open = openConnections();
  const auto Kept = keptBodyBytes(Bounds.Memory->limit(), Open.size());
  while (Bounds.Memory->full()) {
    const auto Chosen = chooseBody(usesOf(Open), Kept);
    if (!Chosen)
      return;
    count(drop_reason::body);
    Open[*Chosen]->refuseBody();
  }
}

auto caller_server::dropUnread() -> void {
  const auto Open = openConnections();
  while (Bounds.Memory->full()) {
    const auto Uses = usesOf(Open);
    const auto Chosen = chooseUnread(Uses);
    if (!Chosen)
      return;
    disconnect(*Open[*Chosen], Uses[*Chosen], drop_reason::unread);
  }
}

auto caller_server::closeReplaced() -> bool {
  const auto Open = openConnections();
  const auto Uses = usesOf(Open);
  const auto Chosen = chooseReplaced(Uses);
  if (!Chosen)
    return false;
  disconnect(*Open[*Chosen], Uses[*Chosen],
             Uses[*Chosen].Idle ? drop_reason::idle : drop_reason::unread);
  return true;
}

auto caller_server::disconnect(caller_connection &Connection,
                               const connection_use &Use, drop_reason Reason)
    -> void {
  count(Reason);
  logWarning(log_category::http, "closed a caller's connection",
             {{"reason", DropReasonNames.name(Reason)},
              {"unread_bytes", Use.UnreadBytes},
              {"unread_ms", Use.Unread / std::chrono::milliseconds(1)},
              {"idle_ms", Use.Idle.value_or(duration::zero()) /
                              std::chrono::milliseconds(1)},
              {"memory_used", Bounds.Memory->used()},
              {"connections", Connections.size()}});
  Connection.disconnect();
}

auto caller_server::refuseConnection(int Fd) -> void {
  count(drop_reason::refused);
  logWarning(log_category::http, "refused a caller's connection",
             {{"status", Unavailable}, {"connections", Connections.size()}});
  auto Headers = platform::gatewayHeaders({}, GatewayRefusalRetryAfter);
  Headers.emplace_back("Content-Length", "0");
  Headers.emplace_back("Connection", "close");
  const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> Answer(
      evbuffer_new(), evbuffer_free);
  appendStatusLine(Answer.get(), Unavailable);
  appendHeaders(Answer.get(), Headers);
  evbuffer_write(Answer.get(), Fd);
  std::array<char, RefusedInputBytes> Input{};
  while (::recv(Fd, Input.data(), Input.size(), MSG_DONTWAIT) ==
         static_cast<ssize_t>(Input.size())) {
  }
  ::close(Fd);
}

auto caller_server::busyCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(), [](const auto &Row) {
        return Row.second->busy() || Row.second->reading();
      }));
}

} // namespace acacianotch
