/// \file Tests of spend limits at an entry.
#include "entry/budget_manager.h"
#include "net_support.h"

using namespace acacianotch;

namespace {

/// Fake control leader that leases the remainder of a limit.
struct fake_control {
  std::uint64_t Available = 0;
  std::uint64_t LeaseRequests = 0;
  bool Reachable = true;

  auto answer(const command &Command) -> kj::Promise<command_result> {
    ++LeaseRequests;
    if (!Reachable)
      return command_result::of(errc::no_quorum, "no leader");
    const auto &Body = std::get<lease_budget>(Command.Body);
    Available += Body.Returned;
    const auto Amount = std::min(Available, Body.Amount);
    Available -= Amount;
    return command_result::of(
        errc::ok, "",
        {{"lease", LeaseRequests}, {"amount", Amount}, {"lease_ms", 10'000}});
  }
};

struct fixture {
  fixture()
      : Loop(testLoop()),
        Manager(
            [this](const command &Command) { return Control.answer(Command); },
            "entry-1") {}

  /// \return the outcome of one reservation.
  auto reserve(std::uint64_t Cost) -> errc {
    std::optional<errc> Outcome;
    Manager.reserve(Account, Cost, [&](const result<void> &Result) {
      Outcome = Result ? errc::ok : Result.error().Code;
    });
    REQUIRE(runUntil(*Loop, [&] { return Outcome.has_value(); }));
    return *Outcome;
  }

  std::unique_ptr<event_loop> Loop;
  fake_control Control;
  budget_manager Manager;
  account_id Account{"club"};
};

} // namespace

// Guards against an account that reserves more than its spend limit.
TEST_CASE("reservations end at the spend limit") {
  fixture Fixture;
  Fixture.Control.Available = 10'000;
  std::uint64_t Granted = 0;
  for (int Request = 0; Request < 50; ++Request)
    Granted += Fixture.reserve(700) == errc::ok ? 700 : 0;
  CHECK(Granted <= 10'000);
  CHECK(Granted >= 10'000 - 700);
  CHECK(Fixture.reserve(700) == errc::spend_limit);
}

// Guards against losing the unspent budget of requests that cost less than
// expected.
TEST_CASE("unspent budget can be reserved again") {
  fixture Fixture;
  Fixture.Control.Available = 10'000;
  for (int Request = 0; Request < 100; ++Request) {
    REQUIRE(Fixture.reserve(1'000) == errc::ok);
    Fixture.Manager.settle(Fixture.Account, 1'000, 50);
  }
  CHECK(Fixture.reserve(1'000) == errc::ok);
}

// Guards against sending a command to the control leader for each request.
TEST_CASE("far fewer leases are requested than reservations made") {
  fixture Fixture;
  Fixture.Control.Available = 10'000'000;
  for (int Request = 0; Request < 1000; ++Request)
    REQUIRE(Fixture.reserve(100) == errc::ok);
  CHECK(Fixture.Control.LeaseRequests <= 400);
}

// Guards against unlimited spending while the control leader is unreachable.
TEST_CASE("nothing beyond the lease is reserved without a control leader") {
  fixture Fixture;
  Fixture.Control.Reachable = false;
  CHECK(Fixture.reserve(100) == errc::no_quorum);
}
