/// \file HTTP client on evhttp.
#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <vector>

namespace acacianotch {

namespace {

constexpr std::size_t MaxIdleConnections = 64;
constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
/// Largest head of an answer in bytes.
constexpr ev_ssize_t MaxHeadBytes = 64L * 1024;

struct connection_deleter {
  auto operator()(evhttp_connection *Connection) const -> void {
    evhttp_connection_free(Connection);
  }
};
using connection_handle =
    std::unique_ptr<evhttp_connection, connection_deleter>;

/// A connection and whether it has handed bytes to a connected socket since
/// the current call began.
struct tracked_connection {
  connection_handle Handle;
  bool BytesHandedOver = false;
};

struct method_row {
  std::string_view Name;
  evhttp_cmd_type Type;
};

constexpr std::array Methods{
    method_row{"GET", EVHTTP_REQ_GET},
    method_row{"POST", EVHTTP_REQ_POST},
    method_row{"PUT", EVHTTP_REQ_PUT},
    method_row{"HEAD", EVHTTP_REQ_HEAD},
    method_row{"PATCH", EVHTTP_REQ_PATCH},
    method_row{"DELETE", EVHTTP_REQ_DELETE},
};

auto methodType(std::string_view Name) -> evhttp_cmd_type {
  for (const auto &Row : Methods)
    if (Row.Name == Name)
      return Row.Type;
  return EVHTTP_REQ_POST;
}

auto isConnected(evutil_socket_t Fd) -> bool {
  socket_address Peer;
  Peer.Length = sizeof(Peer.Storage);
  return Fd >= 0 && getpeername(Fd, Peer.get(), &Peer.Length) == 0;
}

auto headersOf(evhttp_request *Request) -> http_headers {
  http_headers Headers;
  const auto *List = evhttp_request_get_input_headers(Request);
  for (const auto *Row = List->tqh_first; Row != nullptr;
       Row = Row->next.tqe_next)
    Headers.emplace_back(Row->key, Row->value);
  return Headers;
}

auto errorText(evhttp_request_error Error) -> const char * {
  switch (Error) {
  case EVREQ_HTTP_TIMEOUT:
    return "the backend server was silent for too long";
  case EVREQ_HTTP_EOF:
    return "the backend server closed the connection";
  case EVREQ_HTTP_INVALID_HEADER:
    return "the backend server sent an invalid header";
  case EVREQ_HTTP_BUFFER_ERROR:
    return "the connection to the backend server failed";
  case EVREQ_HTTP_REQUEST_CANCEL:
    return "the call was cancelled";
  case EVREQ_HTTP_DATA_TOO_LONG:
    return "the backend server's answer is too long";
  }
  return "the call to the backend server failed";
}

} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
  class call;

  state(event_loop &TheLoop, const address &TheAddress)
      : Loop(TheLoop), Address(TheAddress) {}

  auto takeConnection(bool Reuse) -> std::shared_ptr<tracked_connection> {
    if (Reuse && !Idle.empty()) {
      auto Connection = std::move(Idle.back());
      Idle.pop_back();
      Connection->BytesHandedOver = false;
      return Connection;
    }
    auto Connection = std::make_shared<tracked_connection>();
    Connection->Handle.reset(evhttp_connection_base_new(
        Loop.base(), nullptr, Address.Ip.c_str(), Address.Port));
    auto *Buffered =
        evhttp_connection_get_bufferevent(Connection->Handle.get());
    evbuffer_add_cb(bufferevent_get_output(Buffered), onOutput,
                    Connection.get());
    return Connection;
  }

  // evhttp drains the output buffer also when it gives up, but by then it has
  // closed the socket; so only bytes that leave while the socket is connected
  // count as handed over.
  static auto onOutput(evbuffer * /*Buffer*/, const evbuffer_cb_info *Info,
                       void *Argument) -> void {
    auto &Connection = *static_cast<tracked_connection *>(Argument);
    if (Info->n_deleted == 0 || Connection.BytesHandedOver)
      return;
    auto *Buffered = evhttp_connection_get_bufferevent(Connection.Handle.get());
    Connection.BytesHandedOver = isConnected(bufferevent_getfd(Buffered));
  }

  auto keepConnection(std::shared_ptr<tracked_connection> Connection) -> void {
    if (Idle.size() < MaxIdleConnections)
      Idle.push_back(std::move(Connection));
  }

  /// Frees a connection outside of evhttp's own callbacks.
  auto discard(std::shared_ptr<tracked_connection> Connection) -> void {
    Loop.defer([Connection = std::move(Connection)] {});
  }

  event_loop &Loop;
  address Address;
  std::vector<std::shared_ptr<tracked_connection>> Idle;
};

/// One call. evhttp's callbacks hold a raw pointer to it; the destructor
/// detaches them by discarding the connection.
class http_client::state::call final : public http_call {
public:
  call(std::shared_ptr<state> TheClient, http_call_options TheOptions,
       http_call_events TheEvents)
      : Client(std::move(TheClient)), Options(std::move(TheOptions)),
        Events(std::move(TheEvents)) {}

  ~call() override {
    *Alive = false;
    detach();
  }

  auto begin() -> void {
    Connection = Client->takeConnection(Options.ReuseConnection);
    auto *Raw = Connection->Handle.get();
    const timeval Limit{Options.SilenceLimit.count() / MicrosecondsPerSecond,
                        Options.SilenceLimit.count() % MicrosecondsPerSecond};
    evhttp_connection_set_timeout_tv(Raw, &Limit);
    evhttp_connection_set_max_headers_size(Raw, MaxHeadBytes);
    constexpr ev_ssize_t Unlimited = -1;
    evhttp_connection_set_max_body_size(
        Raw, Options.MaxBodyBytes == 0
                 ? Unlimited
                 : static_cast<ev_ssize_t>(Options.MaxBodyBytes));
    if (Options.TimeLimit > duration::zero()) {
      Timer = Client->Loop.oneShot([this] { handleTimeLimit(); });
      Timer->start(Options.TimeLimit);
    }
    Request = evhttp_request_new(onDone, this);
    evhttp_request_set_header_cb(Request, onHead);
    evhttp_request_set_chunked_cb(Request, onData);
    evhttp_request_set_error_cb(Request, onError);
    addHeaders();
    evbuffer_add(evhttp_request_get_output_buffer(Request), Options.Body.data(),
                 Options.Body.size());
    const auto Status = evhttp_make_request(
        Raw, Request, methodType(Options.Method), Options.Target.c_str());
    if (Status == 0)
      return;
    // evhttp has freed the request.
    Request = nullptr;
    endLater(failure::of(errc::backend_unreachable));
  }

  auto pauseReading() -> void override { setReading(false); }
  auto resumeReading() -> void override { setReading(true); }

private:
  // The connection is freed later, and its answer can arrive before that.
  auto detach() -> void {
    if (Request == nullptr)
      return;
    evhttp_request_set_header_cb(Request, nullptr);
    evhttp_request_set_chunked_cb(Request, nullptr);
    evhttp_request_set_error_cb(Request, nullptr);
    Request->cb = [](evhttp_request *, void *) {};
    Request = nullptr;
    Client->discard(std::move(Connection));
  }

  auto handleTimeLimit() -> void {
    if (Request == nullptr)
      return;
    ErrorDetail = "the answer took too long";
    auto Failure = failureOf(endCode(), ErrorDetail);
    detach();
    endLater(std::move(Failure));
  }

  auto endCode() const -> errc {
    if (HeadSeen)
      return errc::incomplete_answer;
    return Connection->BytesHandedOver ? errc::backend_failed
                                       : errc::backend_unreachable;
  }

  auto setReading(bool Reading) -> void {
    if (Connection == nullptr || Request == nullptr)
      return;
    auto *Buffered =
        evhttp_connection_get_bufferevent(Connection->Handle.get());
    if (Reading)
      bufferevent_enable(Buffered, EV_READ);
    else
      bufferevent_disable(Buffered, EV_READ);
  }

  auto addHeaders() -> void {
    auto *Output = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Output, "Host", Client->Address.text().c_str());
    if (!Options.ReuseConnection)
      evhttp_add_header(Output, "Connection", "close");
    for (const auto &[Name, Value] : Options.Headers)
      evhttp_add_header(Output, Name.c_str(), Value.c_str());
  }

  auto failureOf(errc Code, std::string Detail) const -> failure {
    const auto Handed = Connection != nullptr && Connection->BytesHandedOver;
    return {Code, std::move(Detail),
            Handed ? verdict::may_have_run : verdict::not_run};
  }

  static auto onHead(evhttp_request *Request, void *Argument) -> int {
    auto &Self = *static_cast<call *>(Argument);
    Self.HeadSeen = true;
    if (Self.Events.OnHead)
      Self.Events.OnHead(evhttp_request_get_response_code(Request),
                         headersOf(Request));
    return 0;
  }

  static auto onData(evhttp_request *Request, void *Argument) -> void {
    auto &Self = *static_cast<call *>(Argument);
    auto *Input = evhttp_request_get_input_buffer(Request);
    const auto Size = evbuffer_get_length(Input);
    if (Size == 0 || !Self.Events.OnData)
      return;
    const auto *Bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    Self.Events.OnData({Bytes, Size});
  }

  static auto onError(evhttp_request_error Error, void *Argument) -> void {
    static_cast<call *>(Argument)->ErrorDetail = errorText(Error);
  }

  static auto onDone(evhttp_request *Done, void *Argument) -> void {
    auto &Self = *static_cast<call *>(Argument);
    Self.Request = nullptr;
    const auto Complete = Done != nullptr &&
                          evhttp_request_get_response_code(Done) != 0 &&
                          Self.ErrorDetail.empty();
    if (!Complete) {
      Self.endWithError();
      return;
    }
    onData(Done, Argument);
    auto &Connection = Self.Connection;
    if (Self.Options.ReuseConnection && keepsAlive(Done))
      Self.Client->keepConnection(std::move(Connection));
    else
      Self.Client->discard(std::move(Connection));
    Self.endLater({});
  }

  static auto keepsAlive(evhttp_request *Done) -> bool {
    const auto *Value = evhttp_find_header(
        evhttp_request_get_input_headers(Done), "Connection");
    return Value == nullptr || evutil_ascii_strcasecmp(Value, "close") != 0;
  }

  auto endWithError() -> void {
    auto Failure = failureOf(endCode(), ErrorDetail);
    Client->discard(std::move(Connection));
    endLater(std::move(Failure));
  }

  // The owner usually destroys the call in OnEnd, which must not happen inside
  // evhttp's callback.
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
  std::shared_ptr<tracked_connection> Connection;
  evhttp_request *Request = nullptr;
  std::unique_ptr<loop_timer> Timer; ///< Runs if there is a time limit.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::string ErrorDetail;
  bool HeadSeen = false;
};

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
