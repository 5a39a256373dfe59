/// \file Tests of prompt placement and of the work exchanged between gateways.
#include "board/work_board.h"
#include "control/work_exchange.h"
#include "controller/prompt_placement.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace acacianotch;

namespace {

constexpr server_key A = 1;
constexpr server_key B = 2;
constexpr std::uint64_t Seed = 7;

auto handleOf(std::uint32_t Index) -> backend_handle { return {Index, 1}; }

/// Four backend servers with outstanding work, usable by default.
struct servers {
  std::vector<backend_handle> Members{handleOf(0), handleOf(1), handleOf(2),
                                      handleOf(3)};
  std::map<backend_handle, double> Work;
  std::map<backend_handle, bool> Unusable;
  seeded_random Random{Seed};

  auto place(const prompt_work &Prompt, std::optional<backend_handle> Home)
      -> std::optional<backend_handle> {
    prompt_placement_settings Settings;
    Settings.Choices = 64;
    std::vector<backend_handle> Many;
    for (int Round = 0; Round < 32; ++Round)
      Many.insert(Many.end(), Members.begin(), Members.end());
    return placePrompt(
        Random, Many, Home, Prompt, Settings,
        [&](backend_handle Handle) { return Work[Handle]; },
        [&](backend_handle Handle) { return !Unusable[Handle]; });
  }
};

} // namespace

// Guards against long prompts on the same backend server while others are idle.
TEST_CASE("a prompt is placed where the least work is outstanding") {
  servers Servers;
  Servers.Work = {{handleOf(0), 5}, {handleOf(1), 4}, {handleOf(3), 9}};
  CHECK(Servers.place({12, 0}, std::nullopt) == handleOf(2));
  Servers.Unusable[handleOf(2)] = true;
  CHECK(Servers.place({12, 0}, std::nullopt) == handleOf(1));
}

// Guards against a repeated prefill of a cached prompt because of a small
// difference in load, and against a queue at the home server.
TEST_CASE("a prompt is placed elsewhere when the work at its home costs more") {
  servers Servers;
  Servers.Work[handleOf(0)] = 1;
  CHECK(Servers.place({12, 6}, handleOf(0)) == handleOf(0));
  Servers.Work[handleOf(0)] = 20;
  CHECK(Servers.place({12, 6}, handleOf(0)) != handleOf(0));
}

TEST_CASE("a pool without usable servers returns nothing") {
  servers Servers;
  for (const auto Handle : Servers.Members)
    Servers.Unusable[Handle] = true;
  CHECK_FALSE(Servers.place({1, 0}, handleOf(0)));
}

// Guards against work of other processes that counts after the exchange has
// stopped.
TEST_CASE("the work of others is ignored once it is old") {
  work_board Board;
  const auto Now = steady_clock::now();
  Board.add(A, 2);
  CHECK_FALSE(Board.fresh(Now));
  const std::vector<server_work> Others{{A, 1500}, {B, 500}};
  Board.setOthers(Others, Now);
  CHECK(Board.units(A, Now) == doctest::Approx(3.5));
  CHECK(Board.total(Now) == doctest::Approx(4));
  const auto Later = Now + std::chrono::seconds(2);
  CHECK_FALSE(Board.fresh(Later));
  CHECK(Board.units(A, Later) == doctest::Approx(2));
  Board.add(A, -2);
  CHECK(Board.ownWork(A) == 0);
}

// Guards against a gateway's own work returned to it as work of others, against
// sums that keep subtracted work, and against replies that include servers
// which the gateway does not use.
TEST_CASE("each gateway gets the work of the others at its own servers") {
  work_exchange Exchange;
  const auto Now = steady_clock::now();
  using rows = std::vector<server_work>;
  CHECK(Exchange.exchange("one", {{A, 10}}, Now).empty());
  CHECK(Exchange.exchange("two", {{A, 5}, {B, 1}}, Now) == rows{{A, 10}});
  CHECK(Exchange.exchange("one", {{A, 0}}, Now) == rows{{A, 5}});
  CHECK(Exchange.exchange("one", {{A, 0}, {B, 0}}, Now) ==
        rows{{A, 5}, {B, 1}});
  CHECK(Exchange.exchange("two", {{B, 2}}, Now).empty());
  CHECK(Exchange.exchange("one", {{A, 0}, {B, 0}}, Now) == rows{{B, 2}});
}

// Guards against a report that lists a server twice.
TEST_CASE("work at one server is summed") {
  work_exchange Exchange;
  const auto Now = steady_clock::now();
  using rows = std::vector<server_work>;
  CHECK(Exchange.exchange("one", {{A, 10}, {B, 0}, {A, 4}}, Now).empty());
  CHECK(Exchange.exchange("two", {{A, 0}}, Now) == rows{{A, 14}});
  CHECK(Exchange.exchange("one", {}, Now).empty());
  CHECK(Exchange.exchange("two", {{A, 0}}, Now).empty());
}

// Guards against work of a killed gateway that still counts.
TEST_CASE("the work of a gateway without reports is removed") {
  work_exchange Exchange;
  const auto Now = steady_clock::now();
  CHECK(Exchange.exchange("one", {{A, 10}, {A, 4}}, Now).empty());
  const auto Later = Now + std::chrono::seconds(2);
  CHECK(Exchange.exchange("two", {}, Later).empty());
}
