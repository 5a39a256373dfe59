/// \file Updates of subscribed nodes while the leader lease lapses.
#include "control/subscriptions.h"
#include "net_support.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

/// Counts the updates that it acknowledges.
class counting_sink final : public wire::NodeSink::Server {
public:
  explicit counting_sink(int &TheCount) : Count(TheCount) {}

  auto update(UpdateContext Context) -> kj::Promise<void> override {
    ++Count;
    Context.getResults().initAck().setRevision(
        Context.getParams().getUpdate().getRevision());
    return kj::READY_NOW;
  }

private:
  int &Count;
};

} // namespace

// Guards against an update that waits for the next confirmation because the
// lease had lapsed at the moment at which it was due.
TEST_CASE("an update that could not be confirmed is sent with the lease") {
  const auto Loop = testLoop();
  const catalogue_state State;
  std::optional<epoch> Lease;
  subscriptions Nodes(*Loop, State, [&] { return Lease; });
  int Updates = 0;
  const auto Subscription =
      Nodes.add({}, revision::none, kj::heap<counting_sink>(Updates));
  Nodes.sendUnconfirmed();
  CHECK(Updates == 0);
  Lease = epoch{1};
  Nodes.sendUnconfirmed();
  Nodes.sendUnconfirmed();
  REQUIRE(runUntil(*Loop, [&] { return Updates > 0; }));
  CHECK(Updates == 1);
}
