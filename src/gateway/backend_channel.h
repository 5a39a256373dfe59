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
  std::string RequestId; ///< The answer must state it.
  std::string Method;
  std::string Target;
  http_headers Headers; ///< Without Content-Length.
  std::string Body;
};

/// What the caller of a channel is told. OnEnd is the last event.
struct channel_events {
  std::function<void(const answer_facts &, http_head &&)> OnHead;
  std::function<void(std::string_view)> OnBody;
  /// A failure's verdict is `not_run` only if no byte of the request was handed
  /// to a connected socket.
  std::function<void(result<void>)> OnEnd;
};

/// Runs one call at a time. Answers to earlier requests that come late are
/// skipped; anything else that is no answer ends the connection.
class backend_channel final
    : public std::enable_shared_from_this<backend_channel> {
public:
  /// \return a channel that is connecting, or why the system refused.
  [[nodiscard]] static auto connect(event_loop &Loop, const address &Address)
      -> result<std::shared_ptr<backend_channel>>;

  ~backend_channel();
  backend_channel(const backend_channel &) = delete;
  auto operator=(const backend_channel &) -> backend_channel & = delete;

  /// Sends a call; the channel must be idle.
  auto start(const channel_call &Call, channel_events Events) -> void;

  /// Ends the call without an event and closes the connection, which tells the
  /// backend server to stop.
  auto cancel() -> void;

  /// Stops reading, so that the backend server has to wait.
  auto pauseReading() -> void;
  auto resumeReading() -> void;

  /// \return whether another call may be sent: the last one ended cleanly and
  /// the backend server does not close the connection soon.
  [[nodiscard]] auto reusable(time_point Now) const -> bool;

  /// Runs \p Callback once when an idle connection is lost.
  auto onLost(std::function<void()> Callback) -> void {
    Lost = std::move(Callback);
  }

private:
  enum class state : std::uint8_t { connecting, idle, busy, closed };

  backend_channel(event_loop &Loop, int Fd);

  static auto onRead(bufferevent *, void *Self) -> void;
  static auto onEvent(bufferevent *, short What, void *Self) -> void;

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
  bool Skipping = false; ///< The message belongs to an earlier request.
  bool KeepAlive = false;
  std::optional<duration> IdleLimit;
  time_point IdleSince{};
  std::function<void()> Lost;
};

} // namespace acacianotch
