/// \file Stand-in for a backend server in trouble and for the platform that
/// lists it.
///
/// GET /instances lists it as the only server of the service `chat`. In any
/// other request a marker in the path selects the answer:
///   !status   has the status 000, on a connection that stays open
///   !name     has a header with a blank in its name
///   !early    has no length, comes before the request's body is read and ends
///             in its middle; the connection is reset after that
/// Without a marker, the answer is whole, with the path as its body.
#include "net/socket_func.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <iostream>
#include <thread>

using namespace acacianotch;
using nlohmann::json;

namespace {

/// Time for the peer to read the end of an early answer before the reset.
constexpr auto ResetDelay = std::chrono::milliseconds(50);
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr auto Success = "200 OK";

/// Reads until \p Size bytes have arrived. \return whether they have.
auto receive(int Fd, std::string &Text, std::size_t Size) -> bool {
  std::array<char, 65536> Buffer{};
  while (Text.size() < Size) {
    const auto Count = recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return false;
    Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return true;
}

/// \return the value of the header, which the sender writes as \p Name.
auto header(const std::string &Head, const std::string &Name) -> std::string {
  const auto Line = "\r\n" + Name + ": ";
  const auto At = Head.find(Line);
  if (At == std::string::npos)
    return {};
  const auto Begin = At + Line.size();
  return Head.substr(Begin, Head.find('\r', Begin) - Begin);
}

/// \return the head of an answer to the request \p Head.
auto answerHead(const std::string &Head, const std::string &Status,
                const std::string &Fields) -> std::string {
  auto Text = "HTTP/1.1 " + Status +
              "\r\nX-Acacianotch-Response-Seal: seal\r\n" + Fields;
  for (const auto *Name : {"X-Acacianotch-Request-Id", "X-Request-Id"})
    if (const auto Id = header(Head, Name); !Id.empty())
      Text += std::string(Name) + ": " + Id + "\r\n";
  return Text + "\r\n";
}

auto sendText(int Fd, const std::string &Text) -> void {
  send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
}

auto answerEarly(int Fd, const std::string &Head) -> void {
  sendText(Fd, answerHead(Head, Success, "") + "part");
  shutdown(Fd, SHUT_WR);
  std::this_thread::sleep_for(ResetDelay);
  const linger ResetOnClose{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &ResetOnClose, sizeof(ResetOnClose));
}

auto instanceList(const std::string &Address) -> std::string {
  const json Row{
      {"id", "i-broken"}, {"service", "chat"}, {"address", Address},
      {"zone", "a"},      {"version", "v1"},   {"slots", 8},
      {"state", "ready"}, {"born", 1},         {"cold-remaining-ms", 0}};
  return json{{"instances", json::array({Row})}, {"next", nullptr}}.dump();
}

auto awaitClose(int Fd) -> void {
  std::array<char, 1024> Buffer{};
  while (recv(Fd, Buffer.data(), Buffer.size(), 0) > 0) {
  }
}

/// Answers one request and closes the connection.
auto serve(unique_socket Socket, const std::string &Address) -> void {
  std::string Text;
  auto End = Text.find(HeadEnd);
  for (; End == std::string::npos; End = Text.find(HeadEnd))
    if (!receive(Socket.fd(), Text, Text.size() + 1))
      return;
  const auto Head = Text.substr(0, End + 2);
  const auto PathAt = Head.find(' ') + 1;
  const auto Path = Head.substr(PathAt, Head.find(' ', PathAt) - PathAt);
  const auto IsMarked = [&](std::string_view Marker) {
    return Path.find(Marker) != std::string::npos;
  };
  if (IsMarked("!early"))
    return answerEarly(Socket.fd(), Head);
  const auto Length = header(Head, "Content-Length");
  const auto BodySize = Length.empty() ? 0 : std::stoul(Length);
  if (!receive(Socket.fd(), Text, End + HeadEnd.size() + BodySize))
    return;
  const auto Body = Path == "/instances" ? instanceList(Address) : Path;
  const auto Fields = (IsMarked("!name") ? "X Trouble: 1\r\n" : "") +
                      ("Content-Length: " + std::to_string(Body.size())) +
                      "\r\nConnection: close\r\n";
  const auto *Status = IsMarked("!status") ? "000 Trouble" : Success;
  sendText(Socket.fd(), answerHead(Head, Status, Fields) + Body);
  if (IsMarked("!status"))
    awaitClose(Socket.fd());
}

auto run(const std::string &ListenAddress) -> int {
  const auto Address = parseAddress(ListenAddress);
  const auto Listener =
      Address ? listenOn(*Address)
              : failure::of(errc::bad_request, "no address to listen on");
  if (!Listener) {
    std::cerr << Listener.error().text() << '\n';
    return EXIT_FAILURE;
  }
  constexpr int NoTimeout = -1;
  while (true) {
    pollfd Ready{Listener.value().fd(), POLLIN, 0};
    if (poll(&Ready, 1, NoTimeout) <= 0)
      continue;
    unique_socket Accepted(accept4(Ready.fd, nullptr, nullptr, SOCK_CLOEXEC));
    if (Accepted.fd() >= 0)
      std::thread(serve, std::move(Accepted), ListenAddress).detach();
  }
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  std::string ListenAddress = "127.0.0.1:0";
  CLI::App App("Stand-in of a backend server in trouble for tests");
  App.add_option("--listen", ListenAddress, "Address to listen on");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return run(ListenAddress);
}
