/// \file A gateway's forwarding path with scripted backend servers.
#pragma once

#include "gateway/caller_server.h"
#include "gateway/forward_task.h"
#include "net/socket_func.h"

#include <doctest/doctest.h>
#include <event2/listener.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace acacianotch::gateway_test {

/// Bytes that a scripted backend server sends, and what it does then.
struct scripted_answer {
  std::string Text;   ///< `$ID` stands for the request's id.
  bool Close = false; ///< Closes the connection behind it.
  bool Reset = false; ///< Resets it instead.
};

/// One connection of a scripted peer.
struct peer_connection {
  bufferevent_handle Socket;
  std::string Received;
  bool Ended = false;
};

/// Answers each request with the next scripted answer; without one it stays
/// silent.
class scripted_backend {
public:
  explicit scripted_backend(event_loop &TheLoop) : Loop(TheLoop) {
    auto Socket = listenOn({"127.0.0.1", 0});
    REQUIRE(Socket.ok());
    Port = boundPort(Socket->fd());
    Listener = evconnlistener_new(Loop.base(), onAccept, this,
                                  LEV_OPT_CLOSE_ON_FREE, 0, Socket->release());
  }
  ~scripted_backend() { evconnlistener_free(Listener); }
  scripted_backend(const scripted_backend &) = delete;
  auto operator=(const scripted_backend &) -> scripted_backend & = delete;

  /// Servers that share these answer in the order of the requests.
  std::shared_ptr<std::deque<scripted_answer>> Answers =
      std::make_shared<std::deque<scripted_answer>>();
  std::vector<std::string> Requests; ///< Heads with bodies, as received.
  std::uint16_t Port = 0;
  /// Answer to a question for its report; without one it stays silent.
  std::string Report;
  int Questions = 0; ///< For its report.
  int Closed = 0;    ///< Connections that the gateway has closed.

  auto sendLate(const std::string &Text) -> void {
    REQUIRE_FALSE(Connections.empty());
    bufferevent_write(Connections.back()->Socket.get(), Text.data(),
                      Text.size());
  }

private:
  struct slot : peer_connection {
    scripted_backend *Owner = nullptr;
  };

  static auto onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self) -> void {
    auto &Backend = *static_cast<scripted_backend *>(Self);
    evutil_make_socket_nonblocking(Fd);
    auto Slot = std::make_unique<slot>();
    Slot->Owner = &Backend;
    Slot->Socket.reset(
        bufferevent_socket_new(Backend.Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(Slot->Socket.get(), onRead, nullptr, onEvent, Slot.get());
    bufferevent_enable(Slot->Socket.get(), EV_READ | EV_WRITE);
    Backend.Connections.push_back(std::move(Slot));
  }

  static auto onEvent(bufferevent *, short What, void *Argument) -> void {
    auto &Slot = *static_cast<slot *>(Argument);
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 &&
        !std::exchange(Slot.Ended, true))
      ++Slot.Owner->Closed;
  }

  static auto onRead(bufferevent *Event, void *Argument) -> void {
    auto &Slot = *static_cast<slot *>(Argument);
    auto *Input = bufferevent_get_input(Event);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    Slot.Received += Bytes;
    Slot.Owner->handle(Slot);
  }

  static auto bodySize(const std::string &Head) -> std::size_t {
    const std::string Name = "Content-Length: ";
    const auto At = Head.find(Name);
    return At == std::string::npos ? 0
                                   : std::stoul(Head.substr(At + Name.size()));
  }

  static auto idOf(const std::string &Head) -> std::string {
    const std::string Name = "X-Acacianotch-Request-Id: ";
    const auto At = Head.find(Name) + Name.size();
    return Head.substr(At, Head.find('\r', At) - At);
  }

  auto sendReport(slot &Slot) -> void {
    ++Questions;
    if (Report.empty())
      return;
    const auto Text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(Report.size()) + "\r\n\r\n" + Report;
    bufferevent_write(Slot.Socket.get(), Text.data(), Text.size());
  }

  auto handle(slot &Slot) -> void {
    const auto End = Slot.Received.find("\r\n\r\n");
    if (End == std::string::npos)
      return;
    const auto Size = End + 4 + bodySize(Slot.Received.substr(0, End));
    if (Slot.Received.size() < Size)
      return;
    const auto Request = Slot.Received.substr(0, Size);
    Slot.Received.erase(0, Size);
    if (Request.starts_with("GET /api/report "))
      return sendReport(Slot);
    Requests.push_back(Request);
    if (Answers->empty())
      return;
    auto Answer = std::move(Answers->front());
    Answers->pop_front();
    const auto Id = idOf(Request);
    for (auto At = Answer.Text.find("$ID"); At != std::string::npos;
         At = Answer.Text.find("$ID"))
      Answer.Text.replace(At, 3, Id);
    const auto Fd = bufferevent_getfd(Slot.Socket.get());
    REQUIRE(::send(Fd, Answer.Text.data(), Answer.Text.size(), 0) ==
            static_cast<ssize_t>(Answer.Text.size()));
    if (Answer.Reset) {
      const linger Now{1, 0};
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    if (Answer.Close || Answer.Reset)
      Slot.Socket.reset();
  }

  event_loop &Loop;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<slot>> Connections;
};

/// Callers' server, directory and tasks of a gateway in this process.
class gateway {
public:
  gateway()
      : Loop(std::move(event_loop::create()).value()),
        Control(*Loop, {address{"127.0.0.1", 1}}, rpc_options()),
        Directory(*Loop, node_id("g"), zone_id("a"), 1), Extra(1.0, 10.0),
        Recorder(*Loop, Control, "g", std::chrono::seconds(5), 0.08),
        Inquirer(*Loop), Context{*Loop,
                                 Directory,
                                 Extra,
                                 Recorder,
                                 Inquirer,
                                 Work,
                                 model_cascade({60, 1.0})} {
    auto Created = caller_server::create(
        *Loop, {"127.0.0.1", 0},
        [this](const std::shared_ptr<caller_connection> &Caller,
               caller_request &&Request) {
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
  auto list(const std::vector<scripted_backend *> &Backends) -> void {
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
    Directory.follow(std::move(Records));
  }

  /// Routes everything on host `h` to the service `s`.
  auto route(gateway_route Route) -> void {
    Route.Name = "r";
    Route.Host = "h";
    Route.PathPrefix = "/";
    Route.Services = {{"s", 1}};
    routing_table Next;
    Next.Number = 1;
    Next.Routes = {std::move(Route)};
    Next.Services["s"].Name = "s";
    Table = std::make_shared<const routing_table>(std::move(Next));
  }

  template <typename condition> auto runUntil(const condition &Holds) -> bool {
    const auto End = steady_clock::now() + std::chrono::seconds(20);
    auto Wake = Loop->repeating([] {});
    Wake->start(std::chrono::milliseconds(2));
    while (!Holds() && steady_clock::now() < End)
      Loop->turn();
    return Holds();
  }

  std::unique_ptr<event_loop> Loop;
  leader_client Control;
  backend_directory Directory;
  traffic_budget Extra;
  rollout_recorder Recorder;
  backend_inquirer Inquirer;
  work_board Work;
  gateway_context Context;
  std::shared_ptr<const routing_table> Table;
  std::unordered_set<std::shared_ptr<forward_task>> Tasks;
  std::unique_ptr<caller_server> Server;
};

/// A caller that keeps all that it receives.
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
               const std::string &Body = "", const std::string &More = "")
      -> void {
    send(Method + " /x HTTP/1.1\r\nHost: h\r\nX-Acacianotch-Request-Id: " + Id +
         "\r\n" + More + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body);
  }

  auto leave() -> void { Socket.reset(); }

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
