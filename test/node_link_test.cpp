/// \file Subscription of a node to updates of control.
#include "net_support.h"
#include "node/node_link.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

using namespace acacianotch;

namespace {

/// Documented time from an acknowledgement until it is in force everywhere.
constexpr auto ApplyTime = std::chrono::milliseconds(2000);

/// A leader that keeps subscriptions open.
class subscribed_control final : public wire::Control::Server {
public:
  explicit subscribed_control(int &TheCount) : Count(TheCount) {}

  auto subscribe(SubscribeContext /*Context*/) -> kj::Promise<void> override {
    ++Count;
    return kj::NEVER_DONE;
  }

private:
  int &Count;
};

} // namespace

// Guards against a wait for the kernel's next retransmission on a connection
// that was cut. A connection that nobody reads stands in for it.
TEST_CASE("a node does not wait for a silent connection when a new one gets "
          "through") {
  const auto Loop = testLoop();
  auto Listener = listenOn(loopback(0));
  REQUIRE(Listener.ok());
  const auto Control = loopback(boundPort(Listener->fd()));
  leader_client Client(*Loop, {Control}, {});
  catalogue_view View;
  node_link Link(*Loop, Client, View, {});
  Link.start();
  unique_socket Silent;
  REQUIRE(runUntil(*Loop, [&] {
    Silent = unique_socket(accept(Listener->fd(), nullptr, nullptr));
    return Silent.fd() >= 0;
  }));
  *Listener = unique_socket();
  int Subscriptions = 0;
  const auto Server = rpc_server::create(
      *Loop, Control, kj::heap<subscribed_control>(Subscriptions), {});
  REQUIRE(Server.ok());
  const auto Since = steady_clock::now();
  CHECK(runUntil(*Loop, [&] { return Subscriptions > 0; }));
  CHECK(steady_clock::now() - Since < ApplyTime);
}
