/// \file Where prompts are read, by the work of all gateways.
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

/// Four servers with work, all usable.
struct servers {
  std::vector<backend_handle> Members{handleOf(0), handleOf(1), handleOf(2),
                                      handleOf(3)};
  std::map<backend_handle, double> Work;
  std::map<backend_handle, bool> Gone;
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
        [&](backend_handle Handle) { return !Gone[Handle]; });
  }
};

} // namespace

// Guards against long prompts that meet on one server while others are free.
TEST_CASE("a prompt is read where the least work waits") {
  servers Servers;
  Servers.Work = {{handleOf(0), 5}, {handleOf(1), 4}, {handleOf(3), 9}};
  CHECK(Servers.place({12, 0}, std::nullopt) == handleOf(2));
  Servers.Gone[handleOf(2)] = true;
  CHECK(Servers.place({12, 0}, std::nullopt) == handleOf(1));
}

// Guards against cached prompts that are read again for a little less work,
// and against a usual server that everything waits for.
TEST_CASE("the usual server is left when its work costs more than the prompt") {
  servers Servers;
  Servers.Work[handleOf(0)] = 1;
  CHECK(Servers.place({12, 6}, handleOf(0)) == handleOf(0));
  Servers.Work[handleOf(0)] = 20;
  CHECK(Servers.place({12, 6}, handleOf(0)) != handleOf(0));
}

TEST_CASE("a pool without usable servers has no place") {
  servers Servers;
  for (const auto Handle : Servers.Members)
    Servers.Gone[Handle] = true;
  CHECK_FALSE(Servers.place({1, 0}, handleOf(0)));
}

// Guards against work of others that counts after the exchange has stopped.
TEST_CASE("the work of others is left out once it is old") {
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

// Guards against a gateway's own work that comes back to it as that of others,
// against sums that keep what was taken back, and against answers that grow
// with servers which the gateway does not use.
TEST_CASE("each gateway gets the work of the others where it works") {
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

// Guards against a statement that names a server twice.
TEST_CASE("work at one server is added up") {
  work_exchange Exchange;
  const auto Now = steady_clock::now();
  using rows = std::vector<server_work>;
  CHECK(Exchange.exchange("one", {{A, 10}, {B, 0}, {A, 4}}, Now).empty());
  CHECK(Exchange.exchange("two", {{A, 0}}, Now) == rows{{A, 14}});
  CHECK(Exchange.exchange("one", {}, Now).empty());
  CHECK(Exchange.exchange("two", {{A, 0}}, Now).empty());
}

// Guards against the work of a gateway that was killed.
TEST_CASE("the work of a silent gateway is dropped") {
  work_exchange Exchange;
  const auto Now = steady_clock::now();
  CHECK(Exchange.exchange("one", {{A, 10}, {A, 4}}, Now).empty());
  const auto Later = Now + std::chrono::seconds(2);
  CHECK(Exchange.exchange("two", {}, Later).empty());
}
