/// \file kj byte stream over a socket that libevent watches.
#pragma once

#include "net/event_loop.h"
#include "net/socket_func.h"

#include <kj/async-io.h>

#include <array>

namespace acacianotch {

/// Non-blocking socket as a kj stream. Errors reach kj as exceptions of type
/// DISCONNECTED; rpc.h turns them into results.
class socket_stream final : public kj::AsyncIoStream {
public:
  socket_stream(event_base *Base, unique_socket Socket);

  auto tryRead(void *Buffer, size_t MinBytes, size_t MaxBytes)
      -> kj::Promise<size_t> override;
  auto write(const void *Buffer, size_t Size) -> kj::Promise<void> override;
  auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces)
      -> kj::Promise<void> override;
  auto whenWriteDisconnected() -> kj::Promise<void> override;
  auto shutdownWrite() -> void override;
  auto abortRead() -> void override;

private:
  using fulfiller = kj::Own<kj::PromiseFulfiller<void>>;

  static auto onReady(evutil_socket_t Fd, short Events, void *Argument) -> void;
  auto takeBuffered(kj::byte *Target, size_t MaxBytes) -> size_t;
  auto readMore(kj::byte *Target, size_t MinBytes, size_t MaxBytes, size_t Done)
      -> kj::Promise<size_t>;
  auto writeRest(kj::Array<kj::ArrayPtr<const kj::byte>> Pieces, size_t First)
      -> kj::Promise<void>;
  static auto waitFor(fulfiller &Slot) -> kj::Promise<void>;

  static constexpr size_t BufferBytes = 16384;

  unique_socket Socket;
  event_handle Event;
  fulfiller Readable;
  fulfiller Writable;
  std::array<kj::byte, BufferBytes> Buffer{};
  size_t BufferBegin = 0;
  size_t BufferEnd = 0;
};

} // namespace acacianotch
