/// \file HTTP server on evhttp.
#include "net/http_server.h"

#include "net/http_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <unordered_set>

namespace acacianotch {

namespace {

struct http_deleter {
  auto operator()(evhttp *Http) const -> void { evhttp_free(Http); }
};

struct buffer_deleter {
  auto operator()(evbuffer *Buffer) const -> void { evbuffer_free(Buffer); }
};
using buffer_handle = std::unique_ptr<evbuffer, buffer_deleter>;

auto bufferOf(std::string_view Data) -> buffer_handle {
  buffer_handle Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Data.data(), Data.size());
  return Buffer;
}

constexpr auto AllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
    EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

auto methodName(evhttp_cmd_type Method) -> std::string {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  default:
    return "UNKNOWN";
  }
}

} // namespace

struct http_server::state {
  class exchange;

  state(event_loop &TheLoop, const http_server_options &Options,
        http_handler TheHandler)
      : Loop(TheLoop), Handler(std::move(TheHandler)),
        Connections(TheLoop, Options), Http(evhttp_new(TheLoop.base())) {}

  static auto onRequest(evhttp_request *Request, void *Argument) -> void;

  event_loop &Loop;
  http_handler Handler;
  std::unordered_set<std::shared_ptr<exchange>> Open;
  http_connections Connections;
  std::unique_ptr<evhttp, http_deleter> Http;
  evhttp_bound_socket *Bound = nullptr;
  bool Stopping = false;
};

/// An exchange over one evhttp request. The server holds it until the answer
/// is complete or the caller has left.
class http_server::state::exchange final
    : public http_exchange,
      public std::enable_shared_from_this<exchange> {
public:
  exchange(state &TheServer, evhttp_request *TheRequest)
      : Server(&TheServer), Request(TheRequest),
        Target(evhttp_request_get_uri(TheRequest)),
        Method(methodName(evhttp_request_get_command(TheRequest))) {
    auto *Input = evhttp_request_get_input_buffer(Request);
    const auto Size = evbuffer_get_length(Input);
    Body.resize(Size);
    evbuffer_remove(Input, Body.data(), Size);
    auto *Connection = evhttp_request_get_connection(Request);
    Server->Connections.beginAnswer(Connection, Size, [this] {
      const auto Self = shared_from_this();
      Self->handleClose();
    });
    watchCaller(Connection);
  }

  auto method() const -> std::string override { return Method; }
  auto target() const -> std::string override { return Target; }
  auto body() const -> std::string override { return Body; }
  auto closed() const -> bool override { return Closed; }

  auto path() const -> std::string override {
    return Target.substr(0, Target.find('?'));
  }

  auto header(const char *Name) const -> std::optional<std::string> override {
    if (Request == nullptr)
      return std::nullopt;
    const auto *Value =
        evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
    if (Value == nullptr)
      return std::nullopt;
    return std::string(Value);
  }

  auto reply(int Status, const http_headers &Headers, std::string_view Data)
      -> void override {
    if (Request == nullptr || Closed)
      return;
    addHeaders(Headers);
    auto *Sent = finish();
    evhttp_send_reply(Sent, Status, nullptr, bufferOf(Data).get());
  }

  auto startStream(int Status, const http_headers &Headers) -> void override {
    if (Request == nullptr || Closed)
      return;
    addHeaders(Headers);
    evhttp_send_reply_start(Request, Status, nullptr);
  }

  auto writeChunk(std::string_view Data, std::function<void()> OnSent)
      -> void override {
    if (Request == nullptr || Closed || Data.empty()) {
      Server->Loop.defer(std::move(OnSent));
      return;
    }
    WaitingForSend.push_back(std::move(OnSent));
    evhttp_send_reply_chunk_with_cb(Request, bufferOf(Data).get(), onSent,
                                    this);
  }

  auto endStream() -> void override {
    if (Request == nullptr || Closed)
      return;
    runSendCallbacks();
    evhttp_send_reply_end(finish());
  }

  auto abort() -> void override {
    if (Request == nullptr || Closed)
      return;
    OnClosed = nullptr;
    Server->Loop.defer([Self = shared_from_this()] { Self->dropConnection(); });
  }

  auto onClosed(std::function<void()> Callback) -> void override {
    OnClosed = std::move(Callback);
  }

private:
  // evhttp stops reading while a request is handled, so it notices a caller
  // that leaves only at the next write. This event notices it at once.
  auto watchCaller(evhttp_connection *Connection) -> void {
    auto *Buffered = evhttp_connection_get_bufferevent(Connection);
    const auto Fd = bufferevent_getfd(Buffered);
    CloseWatch.reset(
        event_new(Server->Loop.base(), Fd, EV_CLOSED, onPeerClosed, this));
    event_add(CloseWatch.get(), nullptr);
  }

  static auto onPeerClosed(evutil_socket_t /*Fd*/, short /*Events*/,
                           void *Argument) -> void {
    const auto Self = static_cast<exchange *>(Argument)->shared_from_this();
    Self->dropConnection();
  }

  auto dropConnection() -> void {
    if (Request == nullptr || Closed)
      return;
    evhttp_connection_free(evhttp_request_get_connection(Request));
  }

  // evhttp frees a request that is still attached to the connection right after
  // this call; one that it has detached is ours to free.
  auto handleClose() -> void {
    if (Closed)
      return;
    Closed = true;
    CloseWatch.reset();
    auto *Detached = std::exchange(Request, nullptr);
    if (evhttp_request_get_connection(Detached) == nullptr)
      Server->Loop.defer([Detached] { evhttp_request_free(Detached); });
    Server->Open.erase(shared_from_this());
    for (auto &Callback : std::exchange(WaitingForSend, {}))
      Server->Loop.defer(std::move(Callback));
    if (OnClosed)
      Server->Loop.defer(std::exchange(OnClosed, nullptr));
  }

  static auto onSent(evhttp_connection * /*Connection*/, void *Argument)
      -> void {
    const auto Self = static_cast<exchange *>(Argument)->shared_from_this();
    Self->runSendCallbacks();
  }

  auto runSendCallbacks() -> void {
    for (auto &Callback : std::exchange(WaitingForSend, {}))
      Callback();
  }

  auto addHeaders(const http_headers &Headers) -> void {
    auto *Output = evhttp_request_get_output_headers(Request);
    for (const auto &[Name, Value] : Headers)
      evhttp_add_header(Output, Name.c_str(), Value.c_str());
    if (Server->Stopping)
      evhttp_add_header(Output, "Connection", "close");
  }

  /// Detaches this exchange from evhttp; the answer's end follows.
  auto finish() -> evhttp_request * {
    auto *Connection = evhttp_request_get_connection(Request);
    Server->Connections.endAnswer(Connection);
    CloseWatch.reset();
    OnClosed = nullptr;
    Server->Open.erase(shared_from_this());
    return std::exchange(Request, nullptr);
  }

  state *Server;
  evhttp_request *Request;
  std::string Target;
  std::string Method;
  std::string Body;
  event_handle CloseWatch;
  std::vector<std::function<void()>> WaitingForSend;
  std::function<void()> OnClosed;
  bool Closed = false;
};

auto http_server::state::onRequest(evhttp_request *Request, void *Argument)
    -> void {
  auto &Server = *static_cast<state *>(Argument);
  auto Exchange = std::make_shared<exchange>(Server, Request);
  Server.Open.insert(Exchange);
  Server.Handler(Exchange);
}

auto http_server::create(event_loop &Loop, const address &Address,
                         const http_server_options &Options,
                         http_handler Handler)
    -> result<std::unique_ptr<http_server>> {
  auto Socket = listenOn(Address);
  if (!Socket)
    return Socket.error();
  auto State = std::make_unique<state>(Loop, Options, std::move(Handler));
  auto *Http = State->Http.get();
  evhttp_set_max_body_size(Http, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  evhttp_set_max_headers_size(Http,
                              static_cast<ev_ssize_t>(Options.MaxHeaderBytes));
  evhttp_set_timeout(Http, Options.IdleSeconds);
  evhttp_set_allowed_methods(Http, AllowedMethods);
  evhttp_set_default_content_type(Http, nullptr);
  State->Connections.attach(Http);
  evhttp_set_gencb(Http, state::onRequest, State.get());
  State->Bound = evhttp_accept_socket_with_handle(Http, Socket->release());
  return std::unique_ptr<http_server>(new http_server(std::move(State)));
}

http_server::http_server(std::unique_ptr<state> TheState)
    : State(std::move(TheState)) {}

http_server::~http_server() = default;

auto http_server::port() const -> std::uint16_t {
  return boundPort(evhttp_bound_socket_get_fd(State->Bound));
}

auto http_server::openExchanges() const -> std::size_t {
  return State->Open.size();
}

auto http_server::dropped() const -> const http_drop_counts & {
  return State->Connections.dropped();
}

auto http_server::stopAccepting() -> void {
  State->Stopping = true;
  evconnlistener_disable(evhttp_bound_socket_get_listener(State->Bound));
}

} // namespace acacianotch
