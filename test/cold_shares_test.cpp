/// \file Division of the rate of cold servers, on a virtual clock.
#include "controller/cold_limiter.h"
#include "controller/cold_shares.h"
#include "core/random_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace acacianotch;
using std::chrono::milliseconds;

namespace {

constexpr server_key Server = 7;
constexpr std::uint32_t Limit = 21;
constexpr duration Step = milliseconds(5);
constexpr duration ExchangeInterval = milliseconds(100);

auto at(std::int64_t Milliseconds) -> time_point {
  return time_point{} + std::chrono::hours(1) + milliseconds(Milliseconds);
}

/// Gateways that prefer a cold server, and the leader that divides its rate.
/// Messages take 2 to 40 ms each way.
class cold_trial {
public:
  cold_trial(std::size_t Count, std::uint64_t Seed) : Random(Seed) {
    MESSAGE("seed " << Seed);
    double Total = 0;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Gateways.emplace_back();
      auto &Gateway = Gateways.back();
      Gateway.Name = "g" + std::to_string(Index);
      Gateway.Limiter.setLimit(Server, Limit);
      Gateway.Limiter.setListed(Server, true);
      Gateway.Traffic = 1.0 / (1.0 + static_cast<double>(Index % 10));
      Gateway.NextExchange = at(0) + milliseconds(randomBelow(Random, 100));
      Total += Gateway.Traffic;
    }
    constexpr double RequestsPerSecond = 300;
    for (auto &Gateway : Gateways)
      Gateway.Traffic *= RequestsPerSecond / Total;
    Leader.restart(at(0));
  }

  /// Runs until \p End.
  auto runUntil(time_point End) -> void {
    for (; Now < End; Now += Step)
      for (auto &Gateway : Gateways)
        if (Now >= Gateway.FrozenUntil)
          run(Gateway);
  }

  auto freeze(std::size_t Index, time_point Until) -> void {
    Gateways[Index].FrozenUntil = Until;
  }

  auto loseLeader() -> void { HasLeader = false; }

  auto electLeader() -> void {
    HasLeader = true;
    Leader.restart(Now);
  }

  /// \return the most requests in any ColdWindow.
  [[nodiscard]] auto largestWindow() const -> std::size_t {
    std::size_t Largest = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Sent.size(); ++Last) {
      while (Sent[Last] - Sent[First] > ColdWindow)
        ++First;
      Largest = std::max(Largest, Last - First + 1);
    }
    return Largest;
  }

  /// \return requests per second from \p From to \p To.
  [[nodiscard]] auto rate(time_point From, time_point To) const -> double {
    const auto Count =
        std::count_if(Sent.begin(), Sent.end(), [&](time_point Time) {
          return Time >= From && Time < To;
        });
    return static_cast<double>(Count) /
           std::chrono::duration<double>(To - From).count();
  }

private:
  struct answer {
    time_point AskedAt{};
    time_point ArrivesAt{};
    std::vector<cold_share> Shares;
  };
  struct gateway {
    std::string Name;
    cold_limiter Limiter;
    double Traffic = 0; ///< Requests per second.
    time_point NextExchange{};
    time_point FrozenUntil{};
    std::deque<answer> Answers;
  };

  auto run(gateway &Gateway) -> void {
    while (!Gateway.Answers.empty() &&
           Gateway.Answers.front().ArrivesAt <= Now) {
      const auto &Answer = Gateway.Answers.front();
      Gateway.Limiter.setShares(Answer.Shares, Answer.AskedAt);
      Gateway.Answers.pop_front();
    }
    if (Now >= Gateway.NextExchange)
      ask(Gateway);
    const auto Expected =
        Gateway.Traffic * std::chrono::duration<double>(Step).count();
    if (randomUnit(Random) >= Expected || !Gateway.Limiter.admits(Server, Now))
      return;
    Gateway.Limiter.recordSent(Server, Now);
    Sent.push_back(Now);
  }

  auto ask(gateway &Gateway) -> void {
    Gateway.NextExchange = Now + ExchangeInterval;
    if (!HasLeader)
      return;
    const auto Delay = [&] {
      return milliseconds(2 + randomBelow(Random, 39));
    };
    const auto Known = Gateway.Limiter.knownCold(Now);
    const auto HeardAt = Now + Delay();
    auto Shares = Leader.exchange(
        Gateway.Name, static_cast<std::uint32_t>(std::lround(Gateway.Traffic)),
        Known, HeardAt);
    Gateway.Answers.push_back({Now, HeardAt + Delay(), std::move(Shares)});
  }

  seeded_random Random;
  cold_shares Leader;
  std::vector<gateway> Gateways;
  std::vector<time_point> Sent;
  time_point Now = at(0);
  bool HasLeader = true;
};

/// Runs through a freeze of a gateway and the loss of the leader, and checks
/// that the limit holds throughout and that most of it is used in between.
auto checkTrial(std::size_t Count, std::uint64_t Seed) -> void {
  constexpr double Allowance = 21.5;
  constexpr double LeastUse = 0.7 * Allowance;
  cold_trial Trial(Count, Seed);
  Trial.runUntil(at(6000));
  CHECK(Trial.rate(at(3500), at(6000)) >= LeastUse);
  Trial.freeze(0, at(11'000));
  Trial.runUntil(at(18'000));
  CHECK(Trial.rate(at(8500), at(11'000)) >= LeastUse);
  CHECK(Trial.rate(at(13'500), at(18'000)) >= LeastUse);
  Trial.loseLeader();
  Trial.runUntil(at(18'400));
  Trial.electLeader();
  Trial.runUntil(at(26'000));
  CHECK(Trial.rate(at(21'500), at(26'000)) >= LeastUse);
  CHECK(Trial.largestWindow() <= Limit);
}

} // namespace

// Guards against gateways that together send a cold server more than it takes,
// while one of them is frozen or the leader changes, and against shares that
// stay unused although there is demand.
TEST_CASE("25 gateways use the rate of a cold server and do not exceed it") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    checkTrial(25, Seed);
}

TEST_CASE("105 gateways use the rate of a cold server and do not exceed it") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    checkTrial(105, Seed);
}

// Guards against a gateway that sends to a cold server without a share, and
// against requests that were sent before it was known to be cold.
TEST_CASE("a cold server gets nothing without a valid share") {
  cold_limiter Limiter;
  CHECK(Limiter.admits(Server, at(0)));
  Limiter.setLimit(Server, Limit);
  Limiter.recordSent(Server, at(0));
  Limiter.setListed(Server, true);
  CHECK(!Limiter.admits(Server, at(100)));
  const std::vector<cold_share> One{{Server, 1}};
  Limiter.setShares(One, at(100));
  CHECK(!Limiter.admits(Server, at(100)));
  Limiter.setShares(One, at(900));
  CHECK(Limiter.admits(Server, at(1100)));
  CHECK(!Limiter.admits(Server, at(1600)));
  Limiter.setListed(Server, false);
  CHECK(!Limiter.admits(Server, at(1600)));
  Limiter.setShares({}, at(1550));
  CHECK(Limiter.admits(Server, at(1600)));
}

// Guards against a server that stays cold because gateways repeat to each other
// what they have only been told.
TEST_CASE("a server that no gateway sees as cold any more is warm") {
  cold_shares Leader;
  Leader.restart(at(0));
  cold_limiter Told;
  Told.setLimit(Server, Limit);
  const std::vector<cold_server> Known{{Server, Limit}};
  CHECK(Leader.exchange("a", 10, Known, at(2000)).size() == 1);
  Told.setShares(Leader.exchange("b", 10, {}, at(2050)), at(2040));
  CHECK(Told.cold(Server, at(2100)));
  CHECK(Told.knownCold(at(2100)).empty());
  const auto Later = Leader.exchange("b", 10, {}, at(3100));
  CHECK(Later.empty());
  Told.setShares(Later, at(3090));
  CHECK(!Told.cold(Server, at(3100)));
}

// Guards against a limit that is exceeded when gateways hold different routing
// documents, and against one that stays low for ever.
TEST_CASE("the lowest limit that gateways state is in force") {
  cold_shares Leader;
  Leader.restart(at(0));
  const std::vector<cold_server> High{{Server, 20}};
  const std::vector<cold_server> Low{{Server, 4}};
  CHECK(Leader.exchange("a", 1, Low, at(2000)).at(0).Requests == 4);
  CHECK(Leader.exchange("a", 1, High, at(2100)).at(0).Requests == 4);
  CHECK(Leader.exchange("a", 1, High, at(3200)).at(0).Requests == 20);
}

// Guards against a process that restarts under its name and uses its share a
// second time, because it does not know what it has sent.
TEST_CASE("a restarted gateway waits for the share of its former process") {
  cold_shares Leader;
  Leader.restart(at(0));
  const std::vector<cold_server> Known{{Server, 4}};
  CHECK(Leader.exchange("a#1", 1, Known, at(2000)).at(0).Requests == 4);
  CHECK(Leader.exchange("a#2", 1, Known, at(2500)).at(0).Requests == 0);
  CHECK(Leader.exchange("a#2", 1, Known, at(3700)).at(0).Requests == 4);
}

// Guards against a warm server that stays limited because of one failed
// connection, and against a list that is too old to show a start.
TEST_CASE("a list that is recent enough ends what a failure has marked") {
  cold_limiter Limiter;
  Limiter.setLimit(Server, Limit);
  Limiter.markCold(Server, at(1000), at(6000));
  Limiter.confirmListed(at(900));
  CHECK(Limiter.cold(Server, at(2000)));
  Limiter.confirmListed(at(1100));
  CHECK(!Limiter.cold(Server, at(2000)));
}

// Guards against requests that wait for a connection and reach the server
// together with those that are sent a second later.
TEST_CASE("a request counts from the time at which it is connected") {
  cold_limiter Limiter;
  Limiter.setLimit(Server, Limit);
  Limiter.setListed(Server, true);
  Limiter.recordSent(Server, at(0));
  Limiter.recordConnected(Server, at(0), at(200));
  const std::vector<cold_share> One{{Server, 1}};
  Limiter.setShares(One, at(1000));
  CHECK(!Limiter.admits(Server, at(1100)));
  CHECK(Limiter.admits(Server, at(1300)));
}

// Guards against a server that returns under its id within a second and gets
// the share of that second again.
TEST_CASE("what was sent to a server counts on after a new listing") {
  cold_limiter Limiter;
  Limiter.setLimit(Server, Limit);
  Limiter.setListed(Server, true);
  Limiter.recordSent(Server, at(0));
  Limiter.release(Server);
  Limiter.forgetReleased(at(100));
  Limiter.setLimit(Server, Limit);
  const std::vector<cold_share> One{{Server, 1}};
  Limiter.setShares(One, at(600));
  CHECK(!Limiter.admits(Server, at(700)));
  CHECK(Limiter.admits(Server, at(1100)));
  Limiter.setListed(Server, false);
  Limiter.release(Server);
  Limiter.forgetReleased(at(9000));
  CHECK(Limiter.empty());
}
