/// \file Accepts connections of callers.
#include "gateway/caller_server.h"

#include "net/socket_func.h"

#include <algorithm>

namespace acacianotch {

auto caller_server::create(event_loop &Loop, const address &Address,
                           request_handler Handler)
    -> result<std::unique_ptr<caller_server>> {
  auto Socket = listenOn(Address);
  if (!Socket)
    return Socket.error();
  std::unique_ptr<caller_server> Server(
      new caller_server(Loop, std::move(Handler)));
  // The socket is already listening; a backlog of 0 keeps libevent from calling
  // listen() again.
  Server->Listener.reset(evconnlistener_new(
      Loop.base(), onAccept, Server.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, Socket->release()));
  return Server;
}

caller_server::caller_server(event_loop &TheLoop, request_handler TheHandler)
    : Loop(TheLoop), Handler(std::move(TheHandler)) {}

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
  caller_events Events;
  Events.OnRequest = [this](const auto &Caller, caller_request &&Request) {
    Handler(Caller, std::move(Request));
  };
  Events.OnClosed = [this](caller_connection &Closed) {
    Connections.erase(&Closed);
  };
  auto Connection =
      std::make_shared<caller_connection>(Loop, Fd, Limits, std::move(Events));
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
  std::vector<std::shared_ptr<caller_connection>> Open;
  for (const auto &[Key, Connection] : Connections)
    Open.push_back(Connection);
  for (const auto &Connection : Open)
    Connection->closeIfIdle();
}

auto caller_server::busyCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(), [](const auto &Row) {
        return Row.second->busy() || Row.second->reading();
      }));
}

} // namespace acacianotch
