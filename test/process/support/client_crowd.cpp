/// \file Many connections of clients that ignore the limits.
#include "process/support/client_crowd.h"

#include "process/support/child_process.h"
#include "process/support/port_block.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <thread>

namespace acacianotch {

namespace {

constexpr int StallMilliseconds = 2000;
constexpr auto IdleTime = std::chrono::milliseconds(500);
/// A process that only runs its timers uses at most this much in IdleTime.
constexpr std::uint64_t IdleTicks = 3;
/// Position of the user time in /proc/PID/stat, counted from 1.
constexpr int FirstTickField = 14;
/// Bytes passed to one call; units are repeated up to it.
constexpr std::size_t BlockBytes = 64ULL * 1024;

/// Position of one client in what it sends.
struct progress {
  std::size_t HeadSent = 0;
  std::size_t BodySent = 0;
  bool Done = false;
};

auto blockOf(const crowd_bytes &Bytes) -> std::string {
  std::string Block;
  const auto Copies = std::max<std::size_t>(
      1, BlockBytes / std::max<std::size_t>(1, Bytes.Unit.size()));
  for (std::size_t Copy = 0; Copy < Copies; ++Copy)
    Block += Bytes.Unit;
  return Block;
}

/// Sends once. \return the bytes sent; Done is set at the end or on an error.
auto sendOnce(int Socket, const crowd_bytes &Bytes, const std::string &Block,
              progress &State) -> std::size_t {
  const auto Total = Bytes.Unit.size() * Bytes.Units;
  const auto InHead = State.HeadSent < Bytes.Head.size();
  if (!InHead && State.BodySent >= Total) {
    State.Done = true;
    return 0;
  }
  const auto Offset = InHead ? State.HeadSent : State.BodySent % Block.size();
  const auto &Text = InHead ? Bytes.Head : Block;
  auto Size = Text.size() - Offset;
  if (!InHead)
    Size = std::min(Size, Total - State.BodySent);
  const auto Sent =
      ::send(Socket, Text.data() + Offset, Size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Sent < 0) {
    State.Done = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return 0;
  }
  const auto Count = static_cast<std::size_t>(Sent);
  (InHead ? State.HeadSent : State.BodySent) += Count;
  return Count;
}

} // namespace

client_crowd::client_crowd(std::uint16_t Port, std::size_t Count) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (const auto Socket = connectLoopback(Port); Socket >= 0)
      Sockets.push_back(Socket);
}

client_crowd::~client_crowd() {
  for (const auto Socket : Sockets)
    ::close(Socket);
}

auto client_crowd::send(const crowd_bytes &Bytes) -> std::size_t {
  const auto Block = blockOf(Bytes);
  std::vector<progress> States(Sockets.size());
  std::size_t Sent = 0;
  while (true) {
    std::vector<pollfd> Waiting;
    std::vector<std::size_t> Indexes;
    for (std::size_t Index = 0; Index < Sockets.size(); ++Index) {
      if (States[Index].Done)
        continue;
      Waiting.push_back({Sockets[Index], POLLOUT, 0});
      Indexes.push_back(Index);
    }
    if (Waiting.empty() ||
        ::poll(Waiting.data(), Waiting.size(), StallMilliseconds) <= 0)
      return Sent;
    for (std::size_t Row = 0; Row < Waiting.size(); ++Row)
      if (Waiting[Row].revents != 0)
        Sent += sendOnce(Waiting[Row].fd, Bytes, Block, States[Indexes[Row]]);
  }
}

auto useOf(int Pid) -> process_use {
  const auto Folder = "/proc/" + std::to_string(Pid);
  process_use Use;
  std::ifstream Status(Folder + "/status");
  for (std::string Key; Status >> Key;) {
    if (Key == "VmRSS:")
      Status >> Use.ResidentKb;
    if (Key == "VmHWM:")
      Status >> Use.PeakResidentKb;
  }
  std::ifstream Stat(Folder + "/stat");
  std::string Field;
  for (int Index = 1; Index < FirstTickField && Stat >> Field; ++Index) {
  }
  std::uint64_t User = 0;
  std::uint64_t System = 0;
  Stat >> User >> System;
  Use.ProcessorTicks = User + System;
  std::error_code Error;
  for (std::filesystem::directory_iterator Row(Folder + "/fd", Error), End;
       !Error && Row != End; Row.increment(Error))
    ++Use.Descriptors;
  return Use;
}

auto waitIdle(int Pid) -> bool {
  return waitUntil([&] {
    const auto Before = useOf(Pid).ProcessorTicks;
    std::this_thread::sleep_for(IdleTime);
    return useOf(Pid).ProcessorTicks - Before <= IdleTicks;
  });
}

} // namespace acacianotch
