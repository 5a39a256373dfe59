/// \file Cap'n Proto RPC over libevent sockets.
#include "net/rpc.h"

#include "net/kj_stream.h"

#include <capnp/rpc.h>
#include <event2/listener.h>

#include <list>

namespace acacianotch {

namespace {

auto readerOptions(const rpc_options &Options) -> capnp::ReaderOptions {
  capnp::ReaderOptions Reader;
  Reader.traversalLimitInWords = Options.MaxMessageWords;
  return Reader;
}

/// One accepted connection. Members are destroyed in reverse order, so the RPC
/// system goes before the stream that it uses.
struct server_connection {
  server_connection(event_loop &Loop, unique_socket Socket,
                    capnp::Capability::Client &Bootstrap,
                    const rpc_options &Options)
      : Stream(Loop.base(), std::move(Socket)),
        Network(Stream, capnp::rpc::twoparty::Side::SERVER,
                readerOptions(Options)),
        System(capnp::makeRpcServer(Network, Bootstrap)) {}

  socket_stream Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
  kj::Maybe<kj::Promise<void>> Watch;
};

} // namespace

auto failureFrom(const kj::Exception &Exception) -> failure {
  const std::string Detail(Exception.getDescription().cStr());
  switch (Exception.getType()) {
  case kj::Exception::Type::DISCONNECTED:
    return {errc::backend_unreachable, Detail, verdict::may_have_run};
  case kj::Exception::Type::OVERLOADED:
    return {errc::overloaded, Detail, verdict::may_have_run};
  case kj::Exception::Type::FAILED:
  case kj::Exception::Type::UNIMPLEMENTED:
    break;
  }
  return {errc::protocol_error, Detail, verdict::may_have_run};
}

struct rpc_server::state {
  state(event_loop &TheLoop, capnp::Capability::Client TheBootstrap,
        const rpc_options &TheOptions)
      : Loop(TheLoop), Bootstrap(kj::mv(TheBootstrap)), Options(TheOptions) {}

  ~state() {
    if (Listener != nullptr)
      evconnlistener_free(Listener);
  }

  static auto onAccept(evconnlistener * /*Listener*/, evutil_socket_t Fd,
                       sockaddr * /*Peer*/, int /*PeerLength*/, void *Argument)
      -> void {
    static_cast<state *>(Argument)->accept(unique_socket(Fd));
  }

  auto accept(unique_socket Socket) -> void {
    setLiveness(Socket.fd(), Options.SilenceSeconds);
    Connections.emplace_front(Loop, std::move(Socket), Bootstrap, Options);
    const auto Position = Connections.begin();
    // The connection must not be destroyed inside its own promise.
    const auto Remove = [this, Position] {
      Loop.defer([this, Position] { Connections.erase(Position); });
    };
    Position->Watch = Position->Network.onDisconnect()
                          .then([Remove] { Remove(); },
                                [Remove](kj::Exception &&) { Remove(); })
                          .eagerlyEvaluate(nullptr);
  }

  event_loop &Loop;
  capnp::Capability::Client Bootstrap;
  rpc_options Options;
  evconnlistener *Listener = nullptr;
  std::list<server_connection> Connections;
};

auto rpc_server::create(event_loop &Loop, const address &Address,
                        capnp::Capability::Client Bootstrap,
                        const rpc_options &Options)
    -> result<std::unique_ptr<rpc_server>> {
  auto Socket = listenOn(Address);
  if (!Socket)
    return Socket.error();
  auto State = std::make_unique<state>(Loop, kj::mv(Bootstrap), Options);
  State->Listener = evconnlistener_new(
      Loop.base(), state::onAccept, State.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, Socket->release());
  return std::unique_ptr<rpc_server>(new rpc_server(std::move(State)));
}

rpc_server::rpc_server(std::unique_ptr<state> TheState)
    : State(std::move(TheState)) {}

rpc_server::~rpc_server() = default;

auto rpc_server::port() const -> std::uint16_t {
  return boundPort(evconnlistener_get_fd(State->Listener));
}

auto rpc_server::connections() const -> std::size_t {
  return State->Connections.size();
}

auto rpc_server::stopAccepting() -> void {
  evconnlistener_disable(State->Listener);
}

struct rpc_connection::state {
  state(event_loop &Loop, unique_socket Socket, const rpc_options &Options)
      : Stream(Loop.base(), std::move(Socket)),
        Network(Stream, capnp::rpc::twoparty::Side::CLIENT,
                readerOptions(Options)),
        System(capnp::makeRpcClient(Network)), Bootstrap(ask(System)) {}

  static auto ask(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &System)
      -> capnp::Capability::Client {
    constexpr std::size_t VatIdWords = 4;
    capnp::word Scratch[VatIdWords] = {};
    capnp::MallocMessageBuilder Message(kj::arrayPtr(Scratch, VatIdWords));
    auto VatId = Message.getRoot<capnp::rpc::twoparty::VatId>();
    VatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return System.bootstrap(VatId);
  }

  socket_stream Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
  // Asked for once: after the connection is lost, calls on it fail through
  // their promises, whereas asking the RPC system again throws.
  capnp::Capability::Client Bootstrap;
  kj::Maybe<kj::Promise<void>> Watch;
};

auto rpc_connection::connect(event_loop &Loop, const address &Address,
                             const rpc_options &Options)
    -> result<std::unique_ptr<rpc_connection>> {
  auto Socket = connectTo(Address);
  if (!Socket)
    return Socket.error();
  setLiveness(Socket->fd(), Options.SilenceSeconds);
  auto State =
      std::make_unique<state>(Loop, std::move(Socket).value(), Options);
  return std::unique_ptr<rpc_connection>(new rpc_connection(std::move(State)));
}

rpc_connection::rpc_connection(std::unique_ptr<state> TheState)
    : State(std::move(TheState)) {}

rpc_connection::~rpc_connection() = default;

auto rpc_connection::bootstrap() -> capnp::Capability::Client {
  return State->Bootstrap;
}

auto rpc_connection::onDisconnect(const std::function<void()> &Callback)
    -> void {
  State->Watch = State->Network.onDisconnect()
                     .then([Callback] { Callback(); },
                           [Callback](kj::Exception &&) { Callback(); })
                     .eagerlyEvaluate(nullptr);
}

} // namespace acacianotch
