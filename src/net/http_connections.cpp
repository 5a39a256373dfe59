/// \file Bounds on the memory and the number of an HTTP server's connections.
#include "net/http_connections.h"

#include "core/log_func.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <cassert>

namespace acacianotch {

namespace {

/// evhttp reads on while an answer is unsent. Input of one connection is held
/// back by TCP flow control above this size.
constexpr std::size_t MaxReadAhead = 64ULL * 1024;
/// libevent allocates at least this for input that arrives in an empty buffer,
/// so that many tiny pieces of a chunked body hold more than their bytes.
constexpr std::size_t MinBufferBytes = 1024;
/// Unread input is discarded up to this size before a refused connection is
/// closed: closing a socket with unread input resets the connection, and the
/// client could lose the answer.
constexpr std::size_t MaxDiscardedBytes = 1024ULL * 1024;

constexpr std::string_view MemoryReason = "memory";
constexpr std::string_view ConnectionsReason = "connections";
constexpr std::string_view Refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                     "Connection: close\r\n"
                                     "Content-Length: 0\r\n\r\n";

struct bufferevent_reference {
  auto operator()(bufferevent *Event) const -> void {
    bufferevent_decref(Event);
  }
};

} // namespace

/// One connection, from its acceptance until evhttp frees it.
class http_connections::connection {
public:
  connection(http_connections &TheOwner, bufferevent *TheSocket)
      : Owner(TheOwner), Socket(TheSocket), Held(TheOwner.Budget),
        LastActivity(++TheOwner.Activity) {
    bufferevent_incref(TheSocket);
    bufferevent_setwatermark(TheSocket, EV_READ, 0, MaxReadAhead);
    InputWatch = evbuffer_add_cb(input(), onInput, this);
    OutputWatch = evbuffer_add_cb(output(), onOutput, this);
  }

  ~connection() {
    evbuffer_remove_cb_entry(input(), InputWatch);
    evbuffer_remove_cb_entry(output(), OutputWatch);
  }

  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;

  /// Gets evhttp's connection, which is the argument of its callbacks.
  /// \return false if evhttp has freed the connection already.
  auto adopt() -> bool {
    if (Connection != nullptr)
      return true;
    void *Argument = nullptr;
    bufferevent_getcb(Socket.get(), nullptr, nullptr, nullptr, &Argument);
    if (Argument == nullptr)
      return false;
    Connection = static_cast<evhttp_connection *>(Argument);
    assert(evhttp_connection_get_bufferevent(Connection) == Socket.get());
    evhttp_connection_set_closecb(Connection, onClosed, this);
    return true;
  }

  auto beginAnswer(std::size_t TheBodyBytes, std::function<void()> TheOnClosed)
      -> void {
    Answering = true;
    OnClosed = std::move(TheOnClosed);
    BodyBytes = TheBodyBytes;
    Received = inputLength();
    bufferevent_setwatermark(Socket.get(), EV_READ, 0, MaxReadAhead);
    count();
  }

  auto endAnswer() -> void {
    Answering = false;
    OnClosed = nullptr;
    BodyBytes = 0;
    count();
    if (!answerPending())
      checkReading();
  }

  /// Stops the connection; close() follows outside of evhttp's callbacks.
  auto stop() -> void {
    Stopped = true;
    Held.resize(0);
    bufferevent_disable(Socket.get(), EV_READ);
  }

  auto close() -> void {
    if (!adopt())
      return Owner.remove(*this);
    if (!answerPending() && Received > 0)
      refuse();
    evhttp_connection_free(Connection);
  }

  [[nodiscard]] auto key() const -> bufferevent * { return Socket.get(); }
  [[nodiscard]] auto stopped() const -> bool { return Stopped; }
  [[nodiscard]] auto answering() const -> bool { return Answering; }
  [[nodiscard]] auto heldBytes() const -> std::size_t { return Held.bytes(); }
  [[nodiscard]] auto lastActivity() const -> std::uint64_t {
    return LastActivity;
  }

private:
  static auto onInput(evbuffer * /*Input*/, const evbuffer_cb_info *Info,
                      void *Argument) -> void {
    if (Info->n_added > 0)
      static_cast<connection *>(Argument)->handleInput(*Info);
  }

  static auto onOutput(evbuffer * /*Output*/, const evbuffer_cb_info *Info,
                       void *Argument) -> void {
    static_cast<connection *>(Argument)->handleOutput(*Info);
  }

  static auto onClosed(evhttp_connection * /*Connection*/, void *Argument)
      -> void {
    auto &Self = *static_cast<connection *>(Argument);
    const auto Callback = std::exchange(Self.OnClosed, nullptr);
    Self.Owner.remove(Self);
    if (Callback)
      Callback();
  }

  auto handleInput(const evbuffer_cb_info &Info) -> void {
    if (Stopped)
      return;
    LastActivity = ++Owner.Activity;
    Received += Info.orig_size == 0 ? std::max(Info.n_added, MinBufferBytes)
                                    : Info.n_added;
    count();
    if (!answerPending())
      checkReading();
    Owner.limitMemory(nullptr);
  }

  auto handleOutput(const evbuffer_cb_info &Info) -> void {
    if (Stopped)
      return;
    count();
    if (Info.n_deleted > 0)
      LastActivity = ++Owner.Activity;
    // A single answer may be larger than the budget, so others are closed.
    if (Info.n_added > 0)
      Owner.limitMemory(this);
    if (Info.n_deleted > 0 && !answerPending())
      checkReading();
  }

  // evhttp takes a body with a length out of the input only when it is whole.
  // Input that evhttp leaves although no answer is pending belongs to such a
  // request, whose size evhttp limits. The deferred call runs after evhttp has
  // read what the input holds.
  auto checkReading() -> void {
    if (inputLength() < MaxReadAhead)
      return;
    Owner.Loop.defer([Weak = std::weak_ptr(Owner.Open.at(key()))] {
      if (const auto Self = Weak.lock(); Self && !Self->Stopped &&
                                         !Self->answerPending() &&
                                         Self->inputLength() >= MaxReadAhead)
        bufferevent_setwatermark(Self->key(), EV_READ, 0, 0);
    });
  }

  auto refuse() -> void {
    const auto Fd = bufferevent_getfd(Socket.get());
    ::send(Fd, Refusal.data(), Refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::recv(Fd, nullptr, MaxDiscardedBytes, MSG_DONTWAIT | MSG_TRUNC);
  }

  auto count() -> void {
    if (!Stopped)
      Held.resize(Received + BodyBytes + evbuffer_get_length(output()));
  }

  [[nodiscard]] auto answerPending() const -> bool {
    return Answering || evbuffer_get_length(output()) > 0;
  }

  [[nodiscard]] auto input() const -> evbuffer * {
    return bufferevent_get_input(Socket.get());
  }

  [[nodiscard]] auto output() const -> evbuffer * {
    return bufferevent_get_output(Socket.get());
  }

  [[nodiscard]] auto inputLength() const -> std::size_t {
    return evbuffer_get_length(input());
  }

  http_connections &Owner;
  std::unique_ptr<bufferevent, bufferevent_reference> Socket;
  evhttp_connection *Connection = nullptr;
  evbuffer_cb_entry *InputWatch = nullptr;
  evbuffer_cb_entry *OutputWatch = nullptr;
  memory_budget::share Held;
  std::size_t Received = 0; ///< For the request that is not complete.
  std::size_t BodyBytes = 0;
  std::uint64_t LastActivity;
  std::function<void()> OnClosed;
  bool Answering = false;
  bool Stopped = false;
};

http_connections::http_connections(event_loop &TheLoop,
                                   const http_server_options &Options)
    : Loop(TheLoop), MaxConnections(Options.MaxConnections),
      // One request at the limits always fits.
      Budget(std::max(Options.MaxHeldBytes, Options.MaxBodyBytes +
                                                Options.MaxHeaderBytes +
                                                MaxReadAhead)) {}

http_connections::~http_connections() = default;

auto http_connections::attach(evhttp *Http) -> void {
  evhttp_set_bevcb(Http, onAccept, this);
}

// evhttp frees a connection that it has not been able to set up without a
// notice, so the deferred call looks for those.
auto http_connections::onAccept(event_base *Base, void *Argument)
    -> bufferevent * {
  auto &Self = *static_cast<http_connections *>(Argument);
  auto *Socket = bufferevent_socket_new(Base, -1, 0);
  if (Socket == nullptr)
    return nullptr;
  const auto Accepted = std::make_shared<connection>(Self, Socket);
  Self.Open.emplace(Socket, Accepted);
  Self.Loop.defer([&Self, Weak = std::weak_ptr(Accepted)] {
    if (const auto Found = Weak.lock(); Found && !Found->adopt())
      Self.remove(*Found);
  });
  Self.limitConnections(*Accepted);
  return Socket;
}

auto http_connections::find(evhttp_connection *Connection) -> connection * {
  const auto Found = Open.find(evhttp_connection_get_bufferevent(Connection));
  return Found == Open.end() ? nullptr : Found->second.get();
}

auto http_connections::beginAnswer(evhttp_connection *Connection,
                                   std::size_t BodyBytes,
                                   std::function<void()> OnClosed) -> void {
  auto *Found = find(Connection);
  if (Found == nullptr)
    return;
  Found->adopt();
  Found->beginAnswer(BodyBytes, std::move(OnClosed));
}

auto http_connections::endAnswer(evhttp_connection *Connection) -> void {
  if (auto *Found = find(Connection); Found != nullptr)
    Found->endAnswer();
}

auto http_connections::remove(connection &Closed) -> void {
  if (Closed.stopped())
    --Closing;
  Open.erase(Closed.key());
}

auto http_connections::limitMemory(const connection *Exempt) -> void {
  while (Budget.full()) {
    connection *Largest = nullptr;
    for (const auto &[Key, Each] : Open)
      if (Each.get() != Exempt && Each->heldBytes() > 0 &&
          (Largest == nullptr || Each->heldBytes() > Largest->heldBytes()))
        Largest = Each.get();
    if (Largest == nullptr)
      return;
    ++Dropped.Memory;
    drop(*Largest, MemoryReason);
  }
}

auto http_connections::limitConnections(connection &Accepted) -> void {
  if (Open.size() - Closing <= MaxConnections)
    return;
  auto *Chosen = &Accepted;
  for (const auto &[Key, Each] : Open)
    if (!Each->stopped() && !Each->answering() &&
        Each->lastActivity() < Chosen->lastActivity())
      Chosen = Each.get();
  ++Dropped.Connections;
  drop(*Chosen, ConnectionsReason);
}

auto http_connections::drop(connection &Chosen, std::string_view Reason)
    -> void {
  logWarning(log_category::http, "closed a connection at a limit",
             {{"reason", Reason},
              {"bytes", Chosen.heldBytes()},
              {"all_bytes", Budget.used()},
              {"limit_bytes", Budget.limit()},
              {"connections", Open.size() - Closing},
              {"limit_connections", MaxConnections}});
  Chosen.stop();
  ++Closing;
  Loop.defer([Weak = std::weak_ptr(Open.at(Chosen.key()))] {
    if (const auto Found = Weak.lock())
      Found->close();
  });
}

} // namespace acacianotch
