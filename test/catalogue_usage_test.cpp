/// \file Tests of usage records and budget leases.
#include "catalogue_support.h"

#include "core/random_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

auto recordOf(const std::string &Request, std::uint64_t Cost) -> usage_record {
  usage_record Record{request_id(Request), account_id("a"), "n1", {}};
  Record.Attempts = {{{"m", "1"}, "primary", 10, 20, Cost, true},
                     {{"m", "1"}, "hedge", 10, 5, Cost, false}};
  return Record;
}

auto totalOf(const cluster &Cluster) -> usage_total {
  const auto Place =
      Cluster.State.data().Usage.find({"a", monthOf(Cluster.NowMs)});
  return Place == Cluster.State.data().Usage.end() ? usage_total()
                                                   : Place->second;
}

auto leaseOf(const std::string &Holder, std::uint64_t Amount,
             std::uint64_t ReturnId = 0, std::uint64_t Returned = 0)
    -> lease_budget {
  return {account_id("a"), Holder, Amount, ReturnId, Returned};
}

auto amountOf(const command_result &Result) -> std::uint64_t {
  return Result.Payload.at("amount").get<std::uint64_t>();
}

} // namespace

// Guards against double billing (I4): entry and agent both report, reports are
// resent and arrive after a snapshot; hedges are listed but not billed.
TEST_CASE("usage of a request is recorded once") {
  for (const auto *Id : {"n1-7", "no number"}) {
    cluster Cluster;
    const record_usage Body{{recordOf(Id, 5), recordOf(Id, 5)}};
    CHECK(Cluster.runPlain(Body).Payload.at("recorded") == 1);
    CHECK(Cluster.runPlain(Body).Payload.at("repeated") == 2);
    REQUIRE(Cluster.restart());
    CHECK(Cluster.runPlain(Body).Payload.at("recorded") == 0);
    CHECK(totalOf(Cluster).Cost == 5);
    CHECK(totalOf(Cluster).Requests == 1);
    CHECK(totalOf(Cluster).Attempts == 2);
    CHECK(totalOf(Cluster).OutputTokens == 20);
  }
}

// Guards against a very late duplicate that is billed after its id was
// forgotten.
TEST_CASE("usage older than the retention is not billed again") {
  cluster Cluster;
  Cluster.runPlain(record_usage{{recordOf("n1-7", 5)}});
  Cluster.NowMs += RetentionMs + SweepIntervalMs;
  Cluster.runPlain(record_usage{{recordOf("n1-200", 5)}});
  const auto Late = Cluster.runPlain(record_usage{{recordOf("n1-7", 5)}});
  CHECK(Late.Payload.at("too_old").size() == 1);
  CHECK(totalOf(Cluster).Cost == 10);
}

// Guards against confusion of ids in the compact memory.
TEST_CASE("the request window agrees with a plain set") {
  constexpr std::uint64_t Seed = 7;
  INFO("seed " << Seed);
  seeded_random Random(Seed);
  request_window Window;
  std::set<std::string> Seen;
  for (int Step = 0; Step < 20'000; ++Step) {
    auto Id = "n" + std::to_string(randomBelow(Random, 3)) + "-";
    if (randomBelow(Random, 10) == 0)
      Id += "0";
    Id += std::to_string(randomBelow(Random, 9000));
    const auto Fresh = Seen.insert(Id).second;
    REQUIRE((Window.look(Id) == window_answer::fresh) == Fresh);
    if (Fresh)
      Window.insert(Id, StartMs);
  }
}

// Guards against usage that counts towards a wrong month.
TEST_CASE("months are calendar months in UTC") {
  CHECK(monthOf(0) == 197001);
  CHECK(monthOf(1'782'863'999'999) == 202606);
  CHECK(monthOf(1'782'864'000'000) == 202607);
  CHECK(monthOf(~std::uint64_t{0}) == 999912);
}

// Guards against spend beyond the limit: leases and recorded usage together
// never exceed it, also when requests and returns are resent.
TEST_CASE("leased and spent budget stay within the limit") {
  constexpr std::uint64_t Seed = 11;
  INFO("seed " << Seed);
  seeded_random Random(Seed);
  cluster Cluster;
  constexpr std::uint64_t Limit = 100'000;
  REQUIRE(Cluster.put(accountEntry("a", Limit)).ok());
  std::uint64_t Request = 0;
  for (int Step = 0; Step < 2000; ++Step) {
    Cluster.NowMs += randomBelow(Random, 500);
    const auto Asked = 1 + randomBelow(Random, 3000);
    const auto Result = Cluster.runPlain(leaseOf("n1", Asked));
    const auto Granted = amountOf(Result);
    CHECK(Granted <= Asked);
    const auto Spent = std::min(Granted, randomBelow(Random, 3000));
    if (Spent > 0)
      Cluster.runPlain(
          record_usage{{recordOf("n1-" + std::to_string(++Request), Spent)}});
    const auto Id = Result.Payload.at("lease").get<std::uint64_t>();
    const auto Return = leaseOf("n1", 0, Id, Granted - Spent);
    Cluster.runPlain(Return);
    Cluster.runPlain(Return);
    std::uint64_t Leased = 0;
    const auto Leases = Cluster.State.data().Leases.find("a");
    if (Leases != Cluster.State.data().Leases.end())
      for (const auto &Lease : Leases->second)
        Leased += Lease.UntilMs > Cluster.NowMs ? Lease.Amount : 0;
    REQUIRE(totalOf(Cluster).Cost + Leased <= Limit);
  }
}

// Guards against a resent return that frees budget which is spent but not yet
// recorded.
TEST_CASE("a lease is returned once") {
  cluster Cluster;
  REQUIRE(Cluster.put(accountEntry("a", 100)).ok());
  const auto Granted = Cluster.runPlain(leaseOf("n1", 50));
  const auto Id = Granted.Payload.at("lease").get<std::uint64_t>();
  Cluster.runPlain(leaseOf("n1", 0, Id, 20));
  Cluster.runPlain(leaseOf("n1", 0, Id, 20));
  CHECK(Cluster.State.data().Leases.at("a").front().Amount == 30);
}

// Guards against a budget that stays locked when its holder dies.
TEST_CASE("a lost lease frees its budget after ten seconds") {
  cluster Cluster;
  REQUIRE(Cluster.put(accountEntry("a", 100)).ok());
  CHECK(amountOf(Cluster.runPlain(leaseOf("n1", 100))) == 50);
  CHECK(amountOf(Cluster.runPlain(leaseOf("n2", 100))) == 25);
  REQUIRE(Cluster.restart());
  Cluster.NowMs += BudgetLeaseMs;
  CHECK(amountOf(Cluster.runPlain(leaseOf("n2", 100))) == 50);
  CHECK(Cluster.runPlain(leaseOf("n2", 100)).ok());
}

// Guards against grants beyond an exhausted limit and without an account.
TEST_CASE("an exhausted budget grants nothing") {
  cluster Cluster;
  CHECK(Cluster.runPlain(leaseOf("n1", 1)).Code == errc::unknown_entry);
  REQUIRE(Cluster.put(accountEntry("a", 5)).ok());
  Cluster.runPlain(record_usage{{recordOf("n1-1", 7)}});
  CHECK(Cluster.runPlain(leaseOf("n1", 1)).Code == errc::spend_limit);
}
