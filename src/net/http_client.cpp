/// \file HTTP client on http_reader.
#include "net/http_client.h"

#include "net/bufferevent_type.h"
#include "net/delivery_func.h"
#include "net/http_reader.h"
#include "net/http_write.h"
#include "net/socket_func.h"

#include <algorithm>
#include <vector>

namespace acacianotch {

namespace {

constexpr std::size_t MaxIdleConnections = 64;
/// Largest head of an answer in bytes.
constexpr std::size_t MaxHeadBytes = 64ULL * 1024;
/// Interim answers before the final one.
constexpr int MaxInterimAnswers = 16;
constexpr int FirstFinalStatus = 200;

/// \return whether \p Text can be a part of a request's head.
auto isHeadText(std::string_view Text) -> bool {
  constexpr std::string_view Breaks("\r\n\0", 3);
  return Text.find_first_of(Breaks) == std::string_view::npos;
}

auto isSendable(const http_call_options &Options) -> bool {
  return isHeadText(Options.Method) && isHeadText(Options.Target) &&
         std::all_of(Options.Headers.begin(), Options.Headers.end(),
                     [](const auto &Row) {
                       return isHeadText(Row.first) && isHeadText(Row.second);
                     });
}

/// \return whether a request of this method states its length, even if it is 0.
auto statesLength(const http_call_options &Options) -> bool {
  const auto &Method = Options.Method;
  return !Options.Body.empty() || Method == "POST" || Method == "PUT" ||
         Method == "PATCH";
}

} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
  class connection;
  class call;
  using connection_handle = std::shared_ptr<connection>;

  state(event_loop &TheLoop, const address &TheAddress)
      : Loop(TheLoop), Address(TheAddress) {}

  auto takeConnection(bool Reuse) -> result<connection_handle>;
  auto keepConnection(connection_handle Connection) -> void;
  auto forget(const connection &Closed) -> void;

  event_loop &Loop;
  address Address;
  std::vector<connection_handle> Idle;
};

/// One connection to the server. It runs one call at a time.
class http_client::state::connection final
    : public std::enable_shared_from_this<connection> {
public:
  static auto connect(const std::shared_ptr<state> &Client)
      -> result<connection_handle> {
    auto Fd = connectTo(Client->Address);
    if (!Fd)
      return failure{errc::backend_unreachable, Fd.error().Detail,
                     verdict::not_run};
    return connection_handle(new connection(Client, Fd->release()));
  }

  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;

  /// Sends the request of \p TheCall and tells it the answer.
  auto send(call &TheCall, const http_call_options &Options) -> void;

  /// Ends the call, which is told nothing more.
  /// \return whether the connection stays open for another call.
  auto release(bool Reusable) -> bool {
    Active = nullptr;
    const auto Clean =
        Reusable && !Closed && length(input()) == 0 && length(output()) == 0;
    if (Clean)
      setReading(true);
    else
      close();
    return Clean;
  }

  auto setReading(bool Reading) -> void {
    if (Closed)
      return;
    if (Reading)
      bufferevent_enable(Socket.get(), EV_READ);
    else
      bufferevent_disable(Socket.get(), EV_READ);
  }

  /// \return whether a byte of the call's request was handed to a connected
  /// socket.
  [[nodiscard]] auto bytesHandedOver() const -> bool { return BytesHandedOver; }

private:
  connection(const std::shared_ptr<state> &TheClient, int Fd)
      : Client(TheClient), Loop(TheClient->Loop),
        Socket(bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE)),
        Reader(http_message::answer, MaxHeadBytes,
               {[this](http_head &&Head) { handleHead(std::move(Head)); },
                [this](std::string_view Data) { handleBody(Data); },
                [this] { handleAnswerEnd(); }}) {
    bufferevent_setcb(Socket.get(), onRead, nullptr, onEvent, this);
    evbuffer_add_cb(output(), onOutput, this);
    // Makes libevent report when the pending connection is established.
    bufferevent_socket_connect(Socket.get(), nullptr, 0);
    bufferevent_enable(Socket.get(), EV_READ | EV_WRITE);
  }

  static auto onRead(bufferevent * /*Event*/, void *Self) -> void {
    const auto Connection = static_cast<connection *>(Self)->shared_from_this();
    Connection->process();
  }

  static auto onEvent(bufferevent * /*Event*/, short What, void *Self) -> void {
    const auto Connection = static_cast<connection *>(Self)->shared_from_this();
    if ((What & BEV_EVENT_CONNECTED) != 0)
      Connection->Connected = true;
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      Connection->handleClosed((What & BEV_EVENT_EOF) != 0);
  }

  static auto onOutput(evbuffer * /*Buffer*/, const evbuffer_cb_info *Info,
                       void *Self) -> void;

  auto process() -> void;
  auto handleHead(http_head &&Head) -> void;
  auto handleBody(std::string_view Data) -> void;
  auto handleAnswerEnd() -> void;
  auto handleClosed(bool Clean) -> void;

  // Functions further up the stack may still use the socket.
  auto close() -> void {
    if (std::exchange(Closed, true))
      return;
    evbuffer_remove_cb(output(), onOutput, this);
    bufferevent_setcb(Socket.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(Socket.get(), EV_READ | EV_WRITE);
    Loop.defer([Self = shared_from_this()] { Self->Socket.reset(); });
  }

  [[nodiscard]] auto input() const -> evbuffer * {
    return bufferevent_get_input(Socket.get());
  }
  [[nodiscard]] auto output() const -> evbuffer * {
    return bufferevent_get_output(Socket.get());
  }
  static auto length(const evbuffer *Buffer) -> std::size_t {
    return evbuffer_get_length(Buffer);
  }

  std::weak_ptr<state> Client;
  event_loop &Loop;
  bufferevent_handle Socket;
  http_reader Reader;
  call *Active = nullptr; ///< Null while the connection is idle.
  bool Connected = false;
  bool BytesHandedOver = false;
  bool Closed = false;
};

/// One call; destroying it closes its connection.
class http_client::state::call final : public http_call {
public:
  call(std::shared_ptr<state> TheClient, http_call_options TheOptions,
       http_call_events TheEvents)
      : Client(std::move(TheClient)), Options(std::move(TheOptions)),
        Events(std::move(TheEvents)) {}

  ~call() override {
    *Alive = false;
    if (Connection != nullptr)
      Connection->release(false);
  }
  call(const call &) = delete;
  auto operator=(const call &) -> call & = delete;

  auto begin() -> void {
    if (!isSendable(Options))
      return endLater(failure{errc::bad_request,
                              "a line break in the head of the request",
                              verdict::not_run});
    auto Taken = Client->takeConnection(Options.ReuseConnection);
    if (!Taken)
      return endLater(Taken.error());
    Connection = std::move(Taken).value();
    SilenceTimer = Client->Loop.oneShot(
        [this] { fail("the backend server was silent for too long"); });
    SilenceTimer->start(Options.SilenceLimit);
    if (Options.TimeLimit > duration::zero()) {
      Timer =
          Client->Loop.oneShot([this] { fail("the answer took too long"); });
      Timer->start(Options.TimeLimit);
    }
    Connection->send(*this, Options);
  }

  auto pauseReading() -> void override {
    if (Connection == nullptr)
      return;
    Paused = true;
    SilenceTimer->stop();
    Connection->setReading(false);
  }

  auto resumeReading() -> void override {
    if (Connection == nullptr)
      return;
    Paused = false;
    SilenceTimer->start(Options.SilenceLimit);
    Connection->setReading(true);
  }

  /// Tells that bytes of the request or of the answer were transferred.
  auto handleProgress() -> void {
    if (!Paused)
      SilenceTimer->start(Options.SilenceLimit);
  }

  auto handleHead(http_head &&Head) -> void {
    Interim = Head.Status < FirstFinalStatus;
    if (Interim) {
      if (++InterimAnswers > MaxInterimAnswers)
        fail("too many interim answers");
      return;
    }
    HeadSeen = true;
    KeepAlive = Head.KeepAlive && !Head.EndsWithConnection;
    if (Events.OnHead)
      Events.OnHead(Head.Status, Head.Headers);
    if (Options.Method != "HEAD" && Head.Length > 0 &&
        exceedsBodyLimit(static_cast<std::size_t>(Head.Length)))
      fail(TooLong);
  }

  auto handleBody(std::string_view Data) -> void {
    if (Interim)
      return;
    BodyBytes += Data.size();
    if (exceedsBodyLimit(BodyBytes))
      return fail(TooLong);
    if (Events.OnData)
      Events.OnData(Data);
  }

  auto handleAnswerEnd() -> void {
    if (std::exchange(Interim, false))
      return;
    const auto Used = detach();
    if (Used->release(Options.ReuseConnection && KeepAlive))
      Client->keepConnection(Used);
    endLater({});
  }

  auto fail(std::string Detail) -> void {
    if (Connection == nullptr)
      return;
    const auto Used = detach();
    const auto Handed = Used->bytesHandedOver();
    Used->release(false);
    endLater(failure{endCode(Handed), std::move(Detail),
                     Handed ? verdict::may_have_run : verdict::not_run});
  }

private:
  static constexpr auto TooLong = "the backend server's answer is too long";

  auto detach() -> connection_handle {
    SilenceTimer->stop();
    if (Timer != nullptr)
      Timer->stop();
    return std::exchange(Connection, nullptr);
  }

  [[nodiscard]] auto endCode(bool Handed) const -> errc {
    if (HeadSeen)
      return errc::incomplete_answer;
    return Handed ? errc::backend_failed : errc::backend_unreachable;
  }

  [[nodiscard]] auto exceedsBodyLimit(std::size_t Bytes) const -> bool {
    return Options.MaxBodyBytes > 0 && Bytes > Options.MaxBodyBytes;
  }

  // The owner usually destroys the call in OnEnd, which must not happen inside
  // a callback of the connection.
  auto endLater(result<void> Result) -> void {
    Client->Loop.defer(
        [Guard = Alive, this, Result = std::move(Result)]() mutable {
          if (!*Guard)
            return;
          const auto Callback = std::exchange(Events.OnEnd, nullptr);
          Callback(std::move(Result));
        });
  }

  std::shared_ptr<state> Client;
  http_call_options Options;
  http_call_events Events;
  connection_handle Connection; ///< Null after the end.
  std::unique_ptr<loop_timer> SilenceTimer;
  std::unique_ptr<loop_timer> Timer; ///< Runs if there is a time limit.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::size_t BodyBytes = 0;
  int InterimAnswers = 0;
  bool Interim = false; ///< The current message is not the final answer.
  bool HeadSeen = false;
  bool KeepAlive = false;
  bool Paused = false;
};

auto http_client::state::takeConnection(bool Reuse)
    -> result<connection_handle> {
  if (!Reuse || Idle.empty())
    return connection::connect(shared_from_this());
  auto Connection = std::move(Idle.back());
  Idle.pop_back();
  return Connection;
}

auto http_client::state::keepConnection(connection_handle Connection) -> void {
  if (Idle.size() < MaxIdleConnections)
    Idle.push_back(std::move(Connection));
}

auto http_client::state::forget(const connection &Closed) -> void {
  std::erase_if(Idle, [&](const auto &Each) { return Each.get() == &Closed; });
}

auto http_client::state::connection::send(call &TheCall,
                                          const http_call_options &Options)
    -> void {
  Active = &TheCall;
  BytesHandedOver = false;
  Reader.expectNoBody(Options.Method == "HEAD");
  http_headers Headers{{"Host", Client.lock()->Address.text()}};
  if (!Options.ReuseConnection)
    Headers.emplace_back("Connection", "close");
  if (statesLength(Options))
    Headers.emplace_back("Content-Length", std::to_string(Options.Body.size()));
  Headers.insert(Headers.end(), Options.Headers.begin(), Options.Headers.end());
  appendText(output(), Options.Method + " " + Options.Target + " HTTP/1.1\r\n");
  appendHeaders(output(), Headers);
  appendText(output(), Options.Body);
}

auto http_client::state::connection::onOutput(evbuffer * /*Buffer*/,
                                              const evbuffer_cb_info *Info,
                                              void *Self) -> void {
  auto &Connection = *static_cast<connection *>(Self);
  if (Info->n_deleted == 0 || !Connection.Connected)
    return;
  Connection.BytesHandedOver = true;
  if (Connection.Active != nullptr)
    Connection.Active->handleProgress();
}

auto http_client::state::connection::process() -> void {
  if (Active != nullptr)
    Active->handleProgress();
  while (Active != nullptr && length(input()) > 0) {
    const auto Before = length(input());
    if (auto Done = Reader.read(input()); !Done && Active != nullptr)
      return Active->fail(Done.error().Detail);
    if (Closed || length(input()) == Before)
      return;
  }
  // Bytes after a complete answer belong to no request.
  if (!Closed && Active == nullptr && length(input()) > 0)
    handleClosed(false);
}

auto http_client::state::connection::handleHead(http_head &&Head) -> void {
  if (Active != nullptr)
    Active->handleHead(std::move(Head));
}

auto http_client::state::connection::handleBody(std::string_view Data) -> void {
  if (Active != nullptr)
    Active->handleBody(Data);
}

auto http_client::state::connection::handleAnswerEnd() -> void {
  if (Active != nullptr)
    Active->handleAnswerEnd();
}

// A body without a length ends with the connection. A server that ends it
// before it has the whole request has broken off, even if it closes in an
// orderly way.
auto http_client::state::connection::handleClosed(bool Clean) -> void {
  if (Active != nullptr && Clean && !hasUndeliveredOutput(Socket.get()) &&
      Reader.finish())
    return;
  if (Active != nullptr)
    return Active->fail(Connected
                            ? "the backend server closed the connection"
                            : "the connection to the backend server failed");
  close();
  if (const auto Owner = Client.lock())
    Owner->forget(*this);
}

http_client::http_client(event_loop &Loop, const address &Address)
    : State(std::make_shared<state>(Loop, Address)) {}

http_client::~http_client() = default;

auto http_client::start(http_call_options Options, http_call_events Events)
    -> std::unique_ptr<http_call> {
  auto Call = std::make_unique<state::call>(State, std::move(Options),
                                            std::move(Events));
  Call->begin();
  return Call;
}

} // namespace acacianotch
