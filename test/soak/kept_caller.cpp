#include "soak/kept_caller.h"

#include "process/support/port_block.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace acacianotch::soak {

namespace {

constexpr std::size_t ReadSize = 16384;
constexpr std::size_t MaxHeadBytes = 65536;

struct buffer_deleter {
  auto operator()(evbuffer *Buffer) const -> void { evbuffer_free(Buffer); }
};

} // namespace

keep_alive_client::~keep_alive_client() { disconnect(); }

auto keep_alive_client::disconnect() -> void {
  if (Socket >= 0)
    close(Socket);
  Socket = -1;
}

auto keep_alive_client::connect(std::uint16_t Port,
                                std::chrono::milliseconds Limit) -> bool {
  if (Socket >= 0 && PeerPort == Port)
    return true;
  disconnect();
  Socket = connectLoopback(Port);
  PeerPort = Port;
  if (Socket < 0)
    return false;
  timeval Timeout{};
  Timeout.tv_sec = Limit.count() / 1000;
  Timeout.tv_usec = (Limit.count() % 1000) * 1000;
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  return true;
}

auto keep_alive_client::send(const std::string &Request) const -> bool {
  return ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Request.size());
}

auto keep_alive_client::call(std::uint16_t Port, const std::string &Request,
                             std::chrono::milliseconds Limit) -> call_outcome {
  call_outcome Outcome;
  if (!connect(Port, Limit))
    return Outcome;
  Outcome.Sent = send(Request);
  bool KeepAlive = false;
  http_reader Reader(
      http_message::answer, MaxHeadBytes,
      {[&](http_head &&Head) {
         Outcome.Status = Head.Status;
         KeepAlive = Head.KeepAlive;
         Outcome.HasSeal = Head.find("X-Acacianotch-Response-Seal") != nullptr;
         if (const auto *Id = Head.find("X-Acacianotch-Request-Id"))
           Outcome.ResponseId = *Id;
       },
       [&](std::string_view Data) { Outcome.Body.append(Data); },
       [&] { Outcome.Complete = true; }});
  const std::unique_ptr<evbuffer, buffer_deleter> Input(evbuffer_new());
  std::array<char, ReadSize> Bytes{};
  while (Outcome.Sent && !Outcome.Complete) {
    const auto Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0) {
      Reader.finish();
      break;
    }
    evbuffer_add(Input.get(), Bytes.data(), static_cast<std::size_t>(Count));
    if (!Reader.read(Input.get()))
      break;
  }
  if (!Outcome.Complete || !KeepAlive)
    disconnect();
  return Outcome;
}

} // namespace acacianotch::soak
