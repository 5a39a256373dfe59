/// \file One caller's connection to a gateway.
#pragma once

#include "controller/connection_choice.h"
#include "core/memory_charge.h"
#include "gateway/request_type.h"
#include "net/bufferevent_type.h"
#include "net/event_loop.h"
#include "net/http_reader.h"
#include "routing/routing_type.h"

#include <event2/buffer.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace acacianotch {

class caller_connection;

/// Callbacks of a connection.
struct caller_events {
  std::function<void(const std::shared_ptr<caller_connection> &,
                     caller_request &&)>
      OnRequest;
  std::function<void(caller_connection &)> OnClosed; ///< The last event.
  /// The memory is used up and this connection has taken some of it. The
  /// handler may drop any connection.
  std::function<void()> OnMemoryFull;
};

/// Reads requests one after another and writes their answers. OnRequest runs
/// when the body is complete; the next request is read when the answer has left
/// the output buffer. Bodies and both buffers are charged to a memory budget.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection> {
public:
  caller_connection(event_loop &Loop, int Fd, const caller_limits &Limits,
                    std::shared_ptr<memory_budget> Memory,
                    caller_events Events);
  ~caller_connection();
  caller_connection(const caller_connection &) = delete;
  auto operator=(const caller_connection &) -> caller_connection & = delete;

  /// Starts reading.
  auto start() -> void;

  /// Sends a complete answer to the current request.
  auto reply(int Status, const http_headers &Headers, std::string_view Body)
      -> void;

  /// Sends the head of an answer whose body follows in chunks.
  auto startStream(int Status, const http_headers &Headers) -> void;

  /// Sends one chunk of a streamed answer.
  auto write(std::string_view Data) -> void;

  /// Ends a streamed answer.
  auto endStream() -> void;

  /// Closes the connection, so that the caller sees an incomplete answer.
  auto abort() -> void;

  /// Sets the callbacks of the current request: \p Disconnected runs once if
  /// the caller disconnects before the answer is complete, \p Drained whenever
  /// the output buffer is empty.
  auto watch(std::function<void()> Disconnected, std::function<void()> Drained)
      -> void;

  /// \return the bytes in the output buffer.
  [[nodiscard]] auto unsentBytes() const -> std::size_t;

  /// \return whether the answer to a request is not complete.
  [[nodiscard]] auto busy() const -> bool { return State == state::answering; }

  /// \return whether a request, or a part of it, has arrived and waits to be
  /// handled.
  [[nodiscard]] auto reading() const -> bool;

  /// Closes the connection after the current answer.
  auto closeAfterAnswer() -> void { Closing = true; }

  /// Closes an idle connection now.
  auto closeIfIdle() -> void;

  /// \return what the connection uses.
  [[nodiscard]] auto use() const -> connection_use;

  /// Refuses an incomplete request with 503, because there is no memory for its
  /// body.
  auto refuseBody() -> void;

  /// Closes the connection as if the caller had disconnected.
  auto disconnect() -> void { handleDisconnect(); }

  /// Sets the limits of later requests.
  auto setLimits(const caller_limits &Values) -> void;

private:
  enum class state : std::uint8_t { reading, answering, lingering, closed };

  static auto onRead(bufferevent *, void *Self) -> void;
  static auto onWritten(bufferevent *, void *Self) -> void;
  static auto onEvent(bufferevent *, short What, void *Self) -> void;

  static auto onInputChange(evbuffer *, const evbuffer_cb_info *Info,
                            void *Self) -> void;
  static auto onOutputChange(evbuffer *, const evbuffer_cb_info *Info,
                             void *Self) -> void;

  auto process() -> void;
  auto appendBody(std::string_view Data) -> void;
  auto updateCharge() -> void;
  auto setReadAhead() -> void;
  auto removeBufferCallbacks() -> void;
  auto handleHead(http_head &&Head) -> void;
  auto handleBody(std::string_view Data) -> void;
  auto handleEnd() -> void;
  auto refuse(int Status, std::string_view Reason,
              const http_headers &Headers = {}) -> void;
  auto finishAnswer() -> void;
  auto handleDisconnect() -> void;
  auto startTimer() -> void;
  auto handleTimeout() -> void;
  auto linger() -> void;
  auto close() -> void;
  [[nodiscard]] auto input() const -> evbuffer * {
    return bufferevent_get_input(Socket.get());
  }
  [[nodiscard]] auto output() const -> evbuffer * {
    return bufferevent_get_output(Socket.get());
  }

  event_loop &Loop;
  caller_limits Limits;
  caller_events Events;
  std::shared_ptr<memory_budget> Memory;
  memory_charge Charge; ///< For both buffers.
  bufferevent_handle Socket;
  http_reader Reader;
  std::unique_ptr<loop_timer> Timer;
  state State = state::reading;
  std::unique_ptr<caller_request> Request;
  std::size_t BodyLimit = 0;  ///< Stated length, or the largest allowed one.
  bool BodyArrived = false;   ///< Since the timer was started.
  time_point IdleSince{};     ///< Begin, or end of the last answer.
  time_point OutputTakenAt{}; ///< When the caller last took some output.
  bool KeepAlive = false;
  bool Closing = false;
  bool CloseAfterWrite = false;
  std::function<void()> Disconnected;
  std::function<void()> Drained;
};

} // namespace acacianotch
