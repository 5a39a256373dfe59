#include "process/support/http_call.h"

#include "process/support/child_process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace acacianotch {

namespace {

constexpr std::size_t ReadSize = 65536;
constexpr int HexBase = 16;

auto toLower(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

/// Decodes a chunked body. \return whether the last chunk has arrived.
auto decodeChunks(const std::string &Raw, std::string &Body) -> bool {
  std::size_t Offset = 0;
  while (true) {
    const auto LineEnd = Raw.find("\r\n", Offset);
    if (LineEnd == std::string::npos)
      return false;
    const auto Size = std::strtoul(Raw.substr(Offset, LineEnd - Offset).c_str(),
                                   nullptr, HexBase);
    if (Size == 0)
      return true;
    Body += Raw.substr(LineEnd + 2, Size);
    Offset = LineEnd + 2 + Size + 2;
    if (Offset > Raw.size())
      return false;
  }
}

auto parseHead(const std::string &Head, http_answer &Answer) -> void {
  std::istringstream Lines(Head);
  std::string Line;
  std::getline(Lines, Line);
  const auto Space = Line.find(' ');
  if (Space != std::string::npos)
    Answer.Status = std::atoi(Line.c_str() + Space);
  while (std::getline(Lines, Line)) {
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    auto Value = Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    Value.erase(Value.find_last_not_of("\r ") + 1);
    Answer.Headers[toLower(Line.substr(0, Colon))] = Value;
  }
}

auto parseAnswer(const std::string &Raw) -> http_answer {
  http_answer Answer;
  const auto HeadEnd = Raw.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return Answer;
  parseHead(Raw.substr(0, HeadEnd), Answer);
  const auto Rest = Raw.substr(HeadEnd + 4);
  if (Answer.header("transfer-encoding") == "chunked") {
    Answer.Complete = decodeChunks(Rest, Answer.Body);
    return Answer;
  }
  Answer.Body = Rest;
  const auto Length = Answer.header("content-length");
  Answer.Complete = !Length.empty() && std::to_string(Rest.size()) == Length;
  return Answer;
}

} // namespace

auto http_answer::header(const std::string &Name) const -> std::string {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

auto http_answer::json() const -> nlohmann::json {
  return nlohmann::json::parse(Body, nullptr, false);
}

auto http_answer::error(const std::string &Key) const -> std::string {
  const auto Value = json();
  if (!Value.is_object() || !Value.contains("error"))
    return {};
  return Value["error"].value(Key, "");
}

http_call::http_call(std::uint16_t Port, const std::string &Bytes) {
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Timeout{std::chrono::seconds(WaitLimit).count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    disconnect();
    return;
  }
  send(Bytes);
}

auto http_call::send(const std::string &Bytes) -> void {
  Received.clear();
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Sent += static_cast<std::size_t>(Count);
  }
}

http_call::~http_call() { disconnect(); }

auto http_call::readSome() -> bool {
  std::array<char, ReadSize> Buffer{};
  const auto Count =
      Socket < 0 ? 0 : recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0)
    return false;
  Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  return true;
}

auto http_call::readUntil(const std::string &Text) -> bool {
  while (Received.find(Text) == std::string::npos)
    if (!readSome())
      return false;
  return true;
}

auto http_call::finish() -> http_answer {
  while (readSome()) {
  }
  return parseAnswer(Received);
}

auto http_call::disconnect() -> void {
  if (Socket >= 0)
    close(Socket);
  Socket = -1;
}

auto httpRequest(const std::string &Method, const std::string &Path,
                 const http_fields &Headers, const std::string &Body)
    -> std::string {
  auto Text = Method + " " + Path +
              " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

auto httpGet(std::uint16_t Port, const std::string &Path) -> http_answer {
  return http_call(Port, httpRequest("GET", Path, {}, "")).finish();
}

} // namespace acacianotch
