/// \file Tests of spend limits at an entry.
#include "entry/budget_keeper.h"
#include "net_support.h"

using namespace acacianotch;

namespace {

/// Stands for control: leases what is left of a limit.
struct fake_control {
  std::uint64_t Left = 0;
  std::uint64_t Asked = 0;
  bool Reachable = true;

  auto answer(const command &Command) -> kj::Promise<command_result> {
    ++Asked;
    if (!Reachable)
      return command_result::of(errc::no_quorum, "no leader");
    const auto &Body = std::get<lease_budget>(Command.Body);
    Left += Body.Returned;
    const auto Amount = std::min(Left, Body.Amount);
    Left -= Amount;
    return command_result::of(
        errc::ok, "",
        {{"lease", Asked}, {"amount", Amount}, {"lease_ms", 10'000}});
  }
};

struct fixture {
  fixture()
      : Loop(testLoop()),
        Keeper(
            [this](const command &Command) { return Control.answer(Command); },
            "entry-1") {}

  /// \return the outcome of one reservation.
  auto reserve(std::uint64_t Cost) -> errc {
    std::optional<errc> Outcome;
    Keeper.reserve(Account, Cost, [&](const result<void> &Result) {
      Outcome = Result ? errc::ok : Result.error().Code;
    });
    REQUIRE(runUntil(*Loop, [&] { return Outcome.has_value(); }));
    return *Outcome;
  }

  std::unique_ptr<event_loop> Loop;
  fake_control Control;
  budget_keeper Keeper;
  account_id Account{"club"};
};

} // namespace

// Guards against an account that spends more than its limit.
TEST_CASE("reservations end at the spend limit") {
  fixture Fixture;
  Fixture.Control.Left = 10'000;
  std::uint64_t Granted = 0;
  for (int Request = 0; Request < 50; ++Request)
    Granted += Fixture.reserve(700) == errc::ok ? 700 : 0;
  CHECK(Granted <= 10'000);
  CHECK(Granted >= 10'000 - 700);
  CHECK(Fixture.reserve(700) == errc::spend_limit);
}

// Guards against budget that is lost when requests cost less than expected.
TEST_CASE("what a request does not spend can be reserved again") {
  fixture Fixture;
  Fixture.Control.Left = 10'000;
  for (int Request = 0; Request < 100; ++Request) {
    REQUIRE(Fixture.reserve(1'000) == errc::ok);
    Fixture.Keeper.settle(Fixture.Account, 1'000, 50);
  }
  CHECK(Fixture.reserve(1'000) == errc::ok);
}

// Guards against a command to control for each request.
TEST_CASE("control is asked far less often than requests come") {
  fixture Fixture;
  Fixture.Control.Left = 10'000'000;
  for (int Request = 0; Request < 1000; ++Request)
    REQUIRE(Fixture.reserve(100) == errc::ok);
  CHECK(Fixture.Control.Asked <= 400);
}

// Guards against unlimited spending while control cannot be reached.
TEST_CASE("without control nothing beyond the lease is reserved") {
  fixture Fixture;
  Fixture.Control.Reachable = false;
  CHECK(Fixture.reserve(100) == errc::no_quorum);
}
