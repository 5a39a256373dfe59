/// \file kj byte stream over a socket that libevent watches.
#include "net/kj_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/uio.h>
#include <unistd.h>
#include <vector>

namespace acacianotch {

namespace {

constexpr size_t MaxPiecesPerWrite = 64;

auto disconnected(const char *Operation) -> kj::Exception {
  return KJ_EXCEPTION(DISCONNECTED, Operation, std::strerror(errno));
}

auto wouldBlock() -> bool { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

// The event is edge-triggered, so that a readiness change costs no system call
// to arm it again. Every read and write tries the socket first and waits only
// after EAGAIN, which is what edge-triggered events require.
socket_stream::socket_stream(event_base *Base, unique_socket TheSocket)
    : Socket(std::move(TheSocket)),
      Event(event_new(Base, Socket.fd(),
                      EV_READ | EV_WRITE | EV_ET | EV_PERSIST, onReady, this)) {
  event_add(Event.get(), nullptr);
}

auto socket_stream::onReady(evutil_socket_t /*Fd*/, short Events,
                            void *Argument) -> void {
  auto &Stream = *static_cast<socket_stream *>(Argument);
  if ((Events & EV_READ) != 0 && Stream.Readable.get() != nullptr)
    Stream.Readable->fulfill();
  if ((Events & EV_WRITE) != 0 && Stream.Writable.get() != nullptr)
    Stream.Writable->fulfill();
}

auto socket_stream::waitFor(fulfiller &Slot) -> kj::Promise<void> {
  auto Pair = kj::newPromiseAndFulfiller<void>();
  Slot = kj::mv(Pair.fulfiller);
  return kj::mv(Pair.promise);
}

auto socket_stream::tryRead(void *Target, size_t MinBytes, size_t MaxBytes)
    -> kj::Promise<size_t> {
  return readMore(static_cast<kj::byte *>(Target), MinBytes, MaxBytes, 0);
}

auto socket_stream::takeBuffered(kj::byte *Target, size_t MaxBytes) -> size_t {
  const auto Count = std::min(MaxBytes, BufferEnd - BufferBegin);
  // kj may pass a null target with a size of 0.
  if (Count == 0)
    return 0;
  std::memcpy(Target, Buffer.data() + BufferBegin, Count);
  BufferBegin += Count;
  return Count;
}

// RPC reads a message in two small pieces, so small reads go through a buffer
// that takes whatever the socket holds in one system call.
auto socket_stream::readMore(kj::byte *Target, size_t MinBytes, size_t MaxBytes,
                             size_t Done) -> kj::Promise<size_t> {
  while (true) {
    Done += takeBuffered(Target + Done, MaxBytes - Done);
    if (Done >= MinBytes)
      return Done;
    const auto Wanted = MaxBytes - Done;
    const auto Direct = Wanted >= Buffer.size();
    auto *Into = Direct ? Target + Done : Buffer.data();
    const auto Count =
        ::read(Socket.fd(), Into, Direct ? Wanted : Buffer.size());
    if (Count == 0)
      return Done;
    if (Count > 0 && Direct)
      Done += static_cast<size_t>(Count);
    if (Count > 0 && !Direct) {
      BufferBegin = 0;
      BufferEnd = static_cast<size_t>(Count);
    }
    if (Count > 0 || errno == EINTR)
      continue;
    if (!wouldBlock())
      return disconnected("read");
    return waitFor(Readable).then([this, Target, MinBytes, MaxBytes, Done] {
      return readMore(Target, MinBytes, MaxBytes, Done);
    });
  }
}

auto socket_stream::write(const void *Data, size_t Size) -> kj::Promise<void> {
  const auto Piece = kj::arrayPtr(static_cast<const kj::byte *>(Data), Size);
  return writeRest(kj::heapArray({Piece}), 0);
}

auto socket_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces)
    -> kj::Promise<void> {
  return writeRest(kj::heapArray(Pieces), 0);
}

auto socket_stream::writeRest(kj::Array<kj::ArrayPtr<const kj::byte>> Pieces,
                              size_t First) -> kj::Promise<void> {
  while (true) {
    while (First < Pieces.size() && Pieces[First].size() == 0)
      ++First;
    if (First == Pieces.size())
      return kj::READY_NOW;
    std::array<iovec, MaxPiecesPerWrite> Vector{};
    const auto Count = std::min(Pieces.size() - First, Vector.size());
    for (size_t Index = 0; Index < Count; ++Index) {
      const auto &Piece = Pieces[First + Index];
      Vector[Index] = {const_cast<kj::byte *>(Piece.begin()), Piece.size()};
    }
    msghdr Message{};
    Message.msg_iov = Vector.data();
    Message.msg_iovlen = Count;
    auto Written = ::sendmsg(Socket.fd(), &Message, MSG_NOSIGNAL);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0 && !wouldBlock() && errno != ENOTCONN)
      return disconnected("write");
    if (Written < 0)
      return waitFor(Writable).then(
          [this, Rest = kj::mv(Pieces), First]() mutable {
            return writeRest(kj::mv(Rest), First);
          });
    while (Written > 0) {
      auto &Piece = Pieces[First];
      const auto Taken =
          std::min<size_t>(Piece.size(), static_cast<size_t>(Written));
      Piece = Piece.slice(Taken, Piece.size());
      Written -= static_cast<ssize_t>(Taken);
      if (Piece.size() == 0)
        ++First;
    }
  }
}

auto socket_stream::whenWriteDisconnected() -> kj::Promise<void> {
  return kj::NEVER_DONE;
}

auto socket_stream::shutdownWrite() -> void {
  ::shutdown(Socket.fd(), SHUT_WR);
}

auto socket_stream::abortRead() -> void { ::shutdown(Socket.fd(), SHUT_RD); }

} // namespace acacianotch
