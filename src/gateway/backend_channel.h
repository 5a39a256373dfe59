/// \file One connection from a gateway to a backend server.
#pragma once

#include "core/result.h"
#include "gateway/caller_connection.h"
#include "gateway/request_type.h"
#include "net/event_loop.h"
#include "net/http_reader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// One request for a backend server.
struct channel_call {
  std::string RequestId; ///< The answer must carry it.
  std::string Method;
  std::string Target;
  http_headers Headers;  ///< Without Content-Length.
  std::string_view Body; ///< Copied by start().
};

/// Callbacks of a call. OnEnd is the last one.
struct channel_events {
  std::function<void(const answer_facts &, http_head &&)> OnHead;
  std::function<void(std::string_view)> OnBody;
  /// A failure's verdict is `not_run` only if no byte of the request was handed
  /// to a connected socket.
  std::function<void(result<void>)> OnEnd;
};

/// Runs one call at a time. Late answers to earlier requests are skipped; any
/// other bytes that are no answer to the call close the connection.
class backend_channel final
    : public std::enable_shared_from_this<backend_channel> {
public:
  /// \return a channel that is connecting, or the error of the system call.
  [[nodiscard]] static auto connect(event_loop &Loop, const address &Address)
      -> result<std::shared_ptr<backend_channel>>;

  ~backend_channel();
  backend_channel(const backend_channel &) = delete;
  auto operator=(const backend_channel &) -> backend_channel & = delete;

  /// Sends a call; the channel must be idle.
  auto start(const channel_call &Call, channel_events Events) -> void;

  /// Ends the call without a callback and closes the connection, which makes
  /// the backend server stop its work.
  auto cancel() -> void;

  /// Stops reading; TCP flow control then slows the backend server down.
  auto pauseReading() -> void;
  auto resumeReading() -> void;

  /// Limits the rate at which the rest of the current answer is read, to more
  /// than a stream of tokens needs.
  auto limitRate() -> void;

  /// \return whether another call may be sent: the last one ended cleanly and
  /// the backend server will not close the connection soon.
  [[nodiscard]] auto reusable(time_point Now) const -> bool;

  /// \return whether the connection is not established yet.
  [[nodiscard]] auto connecting() const -> bool {
    return State == state::connecting;
  }

  /// Fails a call of which no byte was sent.
  auto failIfUnsent() -> void;

  /// Sets a callback that gets the time at which the connection was begun, once
  /// it is established.
  auto onConnected(std::function<void(time_point)> Callback) -> void {
    ConnectedCallback = std::move(Callback);
  }

  /// Runs \p Callback for the head of each answer, also of one to an earlier
  /// request, but not of interim answers.
  auto onHead(std::function<void(const answer_facts &)> Callback) -> void {
    HeadCallback = std::move(Callback);
  }

private:
  enum class state : std::uint8_t { connecting, idle, busy, closed };

  backend_channel(event_loop &Loop, int Fd);

  static auto onRead(bufferevent *, void *Self) -> void;
  static auto onEvent(bufferevent *, short What, void *Self) -> void;

  auto handleConnected() -> void;
  auto process() -> void;
  auto handleHead(http_head &&Head) -> void;
  auto handleBody(std::string_view Data) -> void;
  auto handleAnswerEnd() -> void;
  auto handleClosed(bool Clean) -> void;
  auto fail(errc Code, std::string Detail) -> void;
  auto end(result<void> Result) -> void;
  auto close() -> void;

  event_loop &Loop;
  bufferevent_handle Socket;
  http_reader Reader;
  std::unique_ptr<loop_timer> ConnectTimer;
  state State = state::connecting;
  std::string RequestId;
  channel_events Events;
  bool HasCall = false;
  bool Connected = false;
  std::function<void(time_point)> ConnectedCallback;
  time_point ConnectingSince = steady_clock::now();
  bool AnswerBegan = false; ///< The head of the awaited answer has arrived.
  std::size_t UnrelatedBytes = 0; ///< Read before it.
  bool Skipping = false; ///< The current message is not the final answer.
  bool KeepAlive = false;
  bool RateLimited = false;
  std::optional<duration> IdleLimit;
  time_point IdleSince{};
  std::function<void(const answer_facts &)> HeadCallback;
};

} // namespace acacianotch
