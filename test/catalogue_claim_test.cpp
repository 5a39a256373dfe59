/// \file Tests of claims of idempotency keys.
#include "catalogue/command_fields.h"
#include "catalogue_support.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

constexpr std::uint32_t LeaseMs = 30'000;

auto claimOf(const std::string &Request, const std::string &Digest = "d1")
    -> claim_request {
  return {account_id("a"), "key", Digest, request_id(Request), LeaseMs};
}

auto settleOf(const std::string &Request, claim_outcome Outcome)
    -> settle_request {
  settle_request Body{account_id("a"), "key", request_id(Request), Outcome,
                      std::nullopt};
  if (Outcome == claim_outcome::done)
    Body.Response = stored_response{200, "text/plain", {"booked\xff"}};
  return Body;
}

/// \return whether the key grants a run to another request.
auto runsAgain(cluster Cluster) -> bool {
  const auto Result = Cluster.runPlain(claimOf("other"));
  return Result.ok() && Result.Payload.at("claim") == "granted";
}

} // namespace

// Guards against a second run (I7) at each step of a claim's life, with and
// without a snapshot in between.
TEST_CASE("a repeated key never runs again") {
  for (const auto Restart : {false, true}) {
    cluster Cluster;
    const auto Step = [&] {
      if (Restart)
        REQUIRE(Cluster.restart());
    };
    REQUIRE(Cluster.runPlain(claimOf("r1")).ok());
    Step();
    CHECK_FALSE(runsAgain(Cluster));
    CHECK(Cluster.runPlain(claimOf("r2")).Code ==
          errc::idempotency_in_progress);
    CHECK(Cluster.runPlain(claimOf("r1")).Payload.at("claim") == "granted");
    CHECK(Cluster.runPlain(claimOf("r2", "d2")).Code ==
          errc::idempotency_conflict);
    CHECK(Cluster.runPlain(settleOf("r2", claim_outcome::not_run)).Code ==
          errc::idempotency_conflict);
    REQUIRE(Cluster.runPlain(settleOf("r1", claim_outcome::done)).ok());
    Step();
    CHECK_FALSE(runsAgain(Cluster));
    const auto Repeated = Cluster.runPlain(claimOf("r3"));
    CHECK(Repeated.ok());
    CHECK(Repeated.Payload.at("claim") == "done");
    const auto Response =
        readValue<stored_response>(Repeated.Payload.at("response"));
    REQUIRE(Response.ok());
    CHECK(Response.value().Body.Bytes == "booked\xff");
    CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::done)).ok());
    CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::not_run)).Code ==
          errc::idempotency_conflict);
  }
}

// Guards against a second run after the entry that held the claim was lost.
TEST_CASE("an expired claim has an unknown outcome") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(claimOf("r1")).ok());
  Cluster.NowMs += LeaseMs;
  CHECK(Cluster.runPlain(claimOf("r2")).Code == errc::outcome_unknown);
  CHECK(Cluster.runPlain(claimOf("r1")).Code == errc::outcome_unknown);
  CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::not_run)).Code ==
        errc::outcome_unknown);
  CHECK_FALSE(runsAgain(Cluster));
  CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::done)).ok());
  CHECK(Cluster.runPlain(claimOf("r2")).Payload.at("claim") == "done");
}

// Guards against a key that stays blocked although nothing ran, and against a
// late duplicate of the first claim that takes the key again.
TEST_CASE("a released key may be claimed by another request") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(claimOf("r1")).ok());
  REQUIRE(Cluster.runPlain(settleOf("r1", claim_outcome::not_run)).ok());
  CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::not_run)).ok());
  CHECK(Cluster.runPlain(claimOf("r1")).Code == errc::cancelled);
  CHECK(Cluster.runPlain(claimOf("r2", "d2")).Payload.at("claim") == "granted");
  CHECK(Cluster.runPlain(settleOf("r1", claim_outcome::not_run)).Code ==
        errc::idempotency_conflict);
  CHECK(Cluster.runPlain(claimOf("r3", "d2")).Code ==
        errc::idempotency_in_progress);
}

// Guards against a resend after the retention that runs as a new request.
TEST_CASE("a key older than the retention is refused") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(claimOf("r1")).ok());
  REQUIRE(Cluster.runPlain(settleOf("r1", claim_outcome::done)).ok());
  Cluster.NowMs += RetentionMs + 1;
  Cluster.runPlain(record_usage{{}});
  REQUIRE(Cluster.State.data().Claims.empty());
  REQUIRE(Cluster.restart());
  CHECK(Cluster.runPlain(claimOf("r2")).Code == errc::outcome_unknown);
  CHECK_FALSE(runsAgain(Cluster));
}

// Guards against a claim that is released by a leader whose clock is behind.
TEST_CASE("log time never goes back") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(claimOf("r1")).ok());
  Cluster.NowMs += LeaseMs;
  Cluster.runPlain(record_usage{{}});
  Cluster.NowMs -= LeaseMs;
  CHECK(Cluster.runPlain(claimOf("r2")).Code == errc::outcome_unknown);
}
