/// \file Forwarding path of a gateway with scripted backend servers.
#pragma once

#include "gateway/caller_server.h"
#include "gateway/forward_task.h"
#include "net/socket_func.h"

#include <doctest/doctest.h>
#include <event2/listener.h>

#include <csignal>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace acacianotch::gateway_test {

/// Bytes that a scripted backend server sends, and what it does after them.
struct scripted_answer {
  std::string Text;   ///< `$ID` stands for the request's id.
  bool Close = false; ///< Closes the connection after the text.
  bool Reset = false; ///< Resets it instead.
  std::string Repeat; ///< Sent after the text, again and again without end.
  bool Early = false; ///< Sent after the request's head; its body is not read.
};

/// Longer texts are sent as the peer reads them, which excludes a close or
/// reset after them.
inline constexpr std::size_t MaxTextAtOnce = 64UL * 1024;

/// One connection of a scripted peer.
struct peer_connection {
  bufferevent_handle Socket;
  std::string Received;
  bool Ended = false;
};

/// Sends the next scripted answer to each request; stalls if there is none.
class scripted_backend {
public:
  explicit scripted_backend(event_loop &TheLoop) : Loop(TheLoop) {
    // It writes to connections that the tested code has closed.
    std::signal(SIGPIPE, SIG_IGN);
    auto Socket = listenOn({"127.0.0.1", 0});
    REQUIRE(Socket.ok());
    Port = boundPort(Socket->fd());
    Listener = evconnlistener_new(Loop.base(), onAccept, this,
                                  LEV_OPT_CLOSE_ON_FREE, 0, Socket->release());
  }
  ~scripted_backend() { evconnlistener_free(Listener); }
  scripted_backend(const scripted_backend &) = delete;
  auto operator=(const scripted_backend &) -> scripted_backend & = delete;

  /// May be shared by several servers; used in the order of the requests.
  std::shared_ptr<std::deque<scripted_answer>> Answers =
      std::make_shared<std::deque<scripted_answer>>();
  std::vector<std::string> Requests; ///< Heads with bodies, as received.
  std::uint16_t Port = 0;
  /// Answer to a request for its report; it sends none if empty.
  std::string Report;
  std::string ReportHeaders; ///< More header lines of its report.
  int ReportRequests = 0;    ///< Received.
  int Accepted = 0;          ///< Connections.
  int Closed = 0;            ///< Connections that the gateway has closed.

  /// Resets the connection of the last request.
  auto resetLast() -> void {
    REQUIRE(LastRequest != nullptr);
    close(*std::exchange(LastRequest, nullptr), true);
  }

  /// Ends the sending direction of that connection only.
  auto shutDownLast() -> void {
    REQUIRE(LastRequest != nullptr);
    ::shutdown(bufferevent_getfd(LastRequest->Socket.get()), SHUT_WR);
  }

  /// Sends \p Text on the connection of the last request.
  auto sendLate(const std::string &Text) -> void {
    REQUIRE(LastRequest != nullptr);
    bufferevent_write(LastRequest->Socket.get(), Text.data(), Text.size());
  }

private:
  struct backend_connection : peer_connection {
    scripted_backend *Owner = nullptr;
    std::string Repeat;
  };

  static auto onWritten(bufferevent *Event, void *Argument) -> void {
    const auto &Text = static_cast<backend_connection *>(Argument)->Repeat;
    if (!Text.empty())
      bufferevent_write(Event, Text.data(), Text.size());
  }

  static auto onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self) -> void {
    auto &Backend = *static_cast<scripted_backend *>(Self);
    evutil_make_socket_nonblocking(Fd);
    ++Backend.Accepted;
    auto Connection = std::make_unique<backend_connection>();
    Connection->Owner = &Backend;
    Connection->Socket.reset(
        bufferevent_socket_new(Backend.Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(Connection->Socket.get(), onRead, onWritten, onEvent,
                      Connection.get());
    bufferevent_enable(Connection->Socket.get(), EV_READ | EV_WRITE);
    Backend.Connections.push_back(std::move(Connection));
  }

  static auto onEvent(bufferevent *, short What, void *Argument) -> void {
    auto &Connection = *static_cast<backend_connection *>(Argument);
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 &&
        !std::exchange(Connection.Ended, true))
      ++Connection.Owner->Closed;
  }

  static auto onRead(bufferevent *Event, void *Argument) -> void {
    auto &Connection = *static_cast<backend_connection *>(Argument);
    auto *Input = bufferevent_get_input(Event);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    Connection.Received += Bytes;
    Connection.Owner->handle(Connection);
  }

  static auto bodySize(const std::string &Head) -> std::size_t {
    const std::string Name = "Content-Length: ";
    const auto At = Head.find(Name);
    return At == std::string::npos ? 0
                                   : std::stoul(Head.substr(At + Name.size()));
  }

  static auto requestIdOf(const std::string &Head) -> std::string {
    const std::string Name = "X-Acacianotch-Request-Id: ";
    const auto At = Head.find(Name) + Name.size();
    return Head.substr(At, Head.find('\r', At) - At);
  }

  auto sendReport(backend_connection &Connection) -> void {
    ++ReportRequests;
    if (Report.empty())
      return;
    const auto Text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                      ReportHeaders +
                      "Content-Length: " + std::to_string(Report.size()) +
                      "\r\n\r\n" + Report;
    bufferevent_write(Connection.Socket.get(), Text.data(), Text.size());
  }

  auto handle(backend_connection &Connection) -> void {
    const auto End = Connection.Received.find("\r\n\r\n");
    if (End == std::string::npos)
      return;
    const auto Early = !Answers->empty() && Answers->front().Early;
    const auto HeadSize = End + 4;
    const auto Size =
        Early ? HeadSize
              : HeadSize + bodySize(Connection.Received.substr(0, End));
    if (Connection.Received.size() < Size)
      return;
    if (Early)
      bufferevent_disable(Connection.Socket.get(), EV_READ);
    const auto Request = Connection.Received.substr(0, Size);
    Connection.Received.erase(0, Size);
    if (Request.starts_with("GET /api/report "))
      return sendReport(Connection);
    Requests.push_back(Request);
    LastRequest = &Connection;
    if (Answers->empty())
      return;
    auto Answer = std::move(Answers->front());
    Answers->pop_front();
    const auto Id = requestIdOf(Request);
    for (auto At = Answer.Text.find("$ID"); At != std::string::npos;
         At = Answer.Text.find("$ID"))
      Answer.Text.replace(At, 3, Id);
    const auto Fd = bufferevent_getfd(Connection.Socket.get());
    if (Answer.Text.size() > MaxTextAtOnce)
      bufferevent_write(Connection.Socket.get(), Answer.Text.data(),
                        Answer.Text.size());
    else
      REQUIRE(::send(Fd, Answer.Text.data(), Answer.Text.size(), 0) ==
              static_cast<ssize_t>(Answer.Text.size()));
    Connection.Repeat = std::move(Answer.Repeat);
    onWritten(Connection.Socket.get(), &Connection);
    if (Answer.Close || Answer.Reset)
      close(Connection, Answer.Reset);
  }

  static auto close(backend_connection &Connection, bool Reset) -> void {
    const linger ResetOnClose{1, 0};
    if (Reset)
      setsockopt(bufferevent_getfd(Connection.Socket.get()), SOL_SOCKET,
                 SO_LINGER, &ResetOnClose, sizeof(ResetOnClose));
    Connection.Socket.reset();
  }

  event_loop &Loop;
  backend_connection *LastRequest = nullptr;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<backend_connection>> Connections;
};

/// Caller server, directory and tasks of a gateway in this process.
class gateway {
public:
  gateway()
      : Loop(std::move(event_loop::create()).value()),
        Control(*Loop, {address{"127.0.0.1", 1}}, rpc_options()),
        Directory(*Loop, node_id("g"), zone_id("a"), 1), Budget(1.0, 10.0),
        Recorder(*Loop, Control, "g", std::chrono::seconds(5), 0.08),
        ReportClient(*Loop), Context{
                                 *Loop,  View,     Directory,
                                 Budget, Recorder, ReportClient,
                                 Work,   Crashes,  model_cascade({60, 1.0})} {
    confirmView(steady_clock::now());
    auto Created = caller_server::create(
        *Loop, {"127.0.0.1", 0},
        [this](const std::shared_ptr<caller_connection> &Caller,
               caller_request &&Request) {
          Request.ReceivedAt -= HeldFor;
          auto Task = std::make_shared<forward_task>(Context, Table, Caller,
                                                     std::move(Request));
          Tasks.insert(Task);
          Task->onDone(
              [this, Weak = std::weak_ptr(Task)] { Tasks.erase(Weak.lock()); });
          Task->start();
        });
    REQUIRE(Created.ok());
    Server = std::move(Created).value();
  }

  /// Lists backend servers `i-0`, `i-1`, ... of the service `s`.
  auto listBackends(const std::vector<scripted_backend *> &Backends) -> void {
    std::vector<backend_record> Records;
    for (std::size_t Index = 0; Index < Backends.size(); ++Index) {
      backend_record Record;
      Record.Id = "i-" + std::to_string(Index);
      Record.Service = "s";
      Record.Address = {"127.0.0.1", Backends[Index]->Port};
      Record.Zone = "a";
      Record.Version = "v1";
      Record.Slots = 8;
      Records.push_back(Record);
    }
    Directory.applyList(std::move(Records));
  }

  /// Routes all requests for host `h` to the service `s`.
  auto setRoute(gateway_route Route) -> void {
    Route.Name = "r";
    Route.Host = "h";
    Route.PathPrefix = "/";
    Route.Services = {{"s", 1}};
    routing_table Next;
    Next.Number = 1;
    REQUIRE(
        Next.addRoute(std::make_shared<const gateway_route>(std::move(Route))));
    Next.Services["s"].Name = "s";
    Table = std::make_shared<const routing_table>(std::move(Next));
  }

  template <typename condition>
  auto runUntil(const condition &Condition) -> bool {
    const auto Deadline = steady_clock::now() + std::chrono::seconds(20);
    auto WakeTimer = Loop->repeating([] {});
    WakeTimer->start(std::chrono::milliseconds(2));
    while (!Condition() && steady_clock::now() < Deadline)
      Loop->turn();
    return Condition();
  }

  /// Lets control confirm, as of \p At, that the newest routing document has
  /// the number \p Number; that there is none if 0.
  auto confirmView(time_point At, std::uint64_t Number = 0) -> void {
    node_update Update;
    Update.Epoch = epoch{1};
    Update.Revision = revision{Number + 1};
    Update.Chunks = 1;
    Update.Confirmed = true;
    std::vector<shared_change> Changes;
    if (Number != 0)
      Changes.push_back(
          {std::string(RoutingKey), routing_document{Number, {}}});
    Update.Payload = encodeChanges(Changes);
    REQUIRE(View.apply(Update, At).ok());
  }

  std::unique_ptr<event_loop> Loop;
  leader_client Control;
  catalogue_view View;
  backend_directory Directory;
  traffic_budget Budget;
  rollout_recorder Recorder;
  backend_report_client ReportClient;
  work_board Work;
  crash_watch Crashes;
  gateway_context Context;
  std::shared_ptr<const routing_table> Table;
  std::unordered_set<std::shared_ptr<forward_task>> Tasks;
  std::unique_ptr<caller_server> Server;
  duration HeldFor{0}; ///< Time between arrival and forwarding of requests.
};

/// A caller that records all received bytes.
class raw_caller {
public:
  raw_caller(gateway &Gateway, std::uint16_t Port) {
    auto Fd = connectTo({"127.0.0.1", Port});
    REQUIRE(Fd.ok());
    Socket.reset(bufferevent_socket_new(Gateway.Loop->base(), Fd->release(),
                                        BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(Socket.get(), onRead, nullptr, onEvent, this);
    bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  }

  auto send(const std::string &Text) -> void {
    bufferevent_write(Socket.get(), Text.data(), Text.size());
  }

  /// Sends a request with the id \p Id.
  auto request(const std::string &Method, const std::string &Id,
               const std::string &Body = "",
               const std::string &ExtraHeaders = "") -> void {
    send(Method + " /x HTTP/1.1\r\nHost: h\r\nX-Acacianotch-Request-Id: " + Id +
         "\r\n" + ExtraHeaders +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  auto disconnect() -> void { Socket.reset(); }

  std::string Received;
  bool Closed = false;

private:
  static auto onRead(bufferevent *Event, void *Self) -> void {
    auto *Input = bufferevent_get_input(Event);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    static_cast<raw_caller *>(Self)->Received += Bytes;
  }
  static auto onEvent(bufferevent *, short What, void *Self) -> void {
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<raw_caller *>(Self)->Closed = true;
  }

  bufferevent_handle Socket;
};

} // namespace acacianotch::gateway_test
