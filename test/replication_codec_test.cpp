/// \file Tests of the replication codec and the recovery of the log.
#include "core/random_type.h"
#include "replication/codec.h"
#include "replication/persistence.h"
#include "replication_fixture.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace acacianotch::test {

namespace {

auto examples() -> std::vector<message> {
  return {vote_request{3, true, {9, 2}},
          vote_reply{3, true, false},
          append_request{4, {1, 1}, 1, 77, {command(2, 1), command(3, 4)}},
          append_reply{4, true, 3, 0, 77},
          snapshot_chunk{4, {9, 3}, group(3), 8, 2, "abc", 78},
          snapshot_reply{4, 9, 5, 78}};
}

auto envelopeOf(message Body) -> envelope {
  return {replica_id{1}, replica_id{2}, std::move(Body)};
}

} // namespace

// Guards against fields that are lost or swapped by encoding.
TEST_CASE("messages and frames are decoded as encoded") {
  for (const auto &Body : examples()) {
    const auto Decoded = decodeEnvelope(encodeEnvelope(envelopeOf(Body)));
    REQUIRE(Decoded.ok());
    CHECK(*Decoded == envelopeOf(Body));
  }
  const auto Frame = decodeFrame(encodeFrame(term_state{5, replica_id{2}}));
  REQUIRE(Frame.ok());
  CHECK(std::get<term_state>(*Frame) == term_state{5, replica_id{2}});
  const auto Members = decodeMembership(encodeMembership(group(3)));
  REQUIRE(Members.ok());
  CHECK(*Members == group(3));
}

// Guards against a crash, an exception or unbounded memory use when decoding
// invalid input: truncated and corrupted messages, deep nesting, and lengths
// that exceed the input.
TEST_CASE("the decoder rejects invalid input") {
  seeded_random Random(1);
  std::size_t Rejected = 0;
  for (const auto &Body : examples()) {
    const auto Whole = encodeEnvelope(envelopeOf(Body));
    for (std::size_t Size = 0; Size < Whole.size(); ++Size)
      CHECK_FALSE(decodeEnvelope(Whole.substr(0, Size)).ok());
    CHECK_FALSE(decodeEnvelope(Whole + "x").ok());
    for (auto Round = 0; Round < 4000; ++Round) {
      auto Changed = Whole;
      for (auto Left = randomBelow(Random, 3) + 1; Left > 0; --Left)
        Changed[randomBelow(Random, Whole.size())] =
            static_cast<char>(Random());
      Rejected += decodeEnvelope(Changed).ok() ? 0 : 1;
      (void)decodeFrame(Changed);
      (void)decodeSnapshot(Changed);
      (void)decodeMembership(Changed);
    }
  }
  CHECK(Rejected > 0);
  CHECK_FALSE(decodeEnvelope(std::string(1U << 20U, '\x81')).ok());
  CHECK_FALSE(decodeEnvelope(std::string(1U << 20U, '\xa1')).ok());
  CHECK_FALSE(decodeEnvelope("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").ok());
  CHECK_FALSE(decodeEnvelope("\x81\x5b\x7f\xff\xff\xff\xff\xff\xff\xff").ok());
}

// Guards against accepting a message whose records have gaps, descending terms
// or a term above that of their leader.
TEST_CASE("the decoder rejects inconsistent records") {
  const auto Decode = [](std::vector<log_record> Records) {
    return decodeEnvelope(encodeEnvelope(
        envelopeOf(append_request{4, {1, 1}, 1, 0, std::move(Records)})));
  };
  CHECK(Decode({command(2, 2)}).ok());
  CHECK_FALSE(Decode({command(3, 2)}).ok());
  CHECK_FALSE(Decode({command(2, 2), command(3, 1)}).ok());
  CHECK_FALSE(Decode({command(2, 5)}).ok());
}

// Guards against a recovery that keeps replaced records or loses a vote.
TEST_CASE("recovery applies replaced records and the latest vote") {
  const auto Durable = recover(
      std::nullopt,
      {encodeFrame(term_state{1, replica_id{1}}), encodeFrame(command(1, 1)),
       encodeFrame(command(2, 1)), encodeFrame(term_state{2, replica_id{3}}),
       encodeFrame(command(2, 2))});
  REQUIRE(Durable.ok());
  CHECK(Durable->State == term_state{2, replica_id{3}});
  CHECK(Durable->Records ==
        std::vector<log_record>{command(1, 1), command(2, 2)});
  CHECK_FALSE(recover(std::nullopt, {encodeFrame(command(2, 1))}).ok());
  CHECK_FALSE(recover(std::nullopt,
                      {encodeFrame(command(1, 1)), encodeFrame(command(3, 1))})
                  .ok());
  CHECK_FALSE(recover(std::nullopt, {"garbage"}).ok());
  CHECK_FALSE(recover("garbage", {}).ok());
}

// Guards against keeping records that conflict with the snapshot. They remain
// in the log file after a crash between the writes of the snapshot and the log.
TEST_CASE("recovery removes records that the snapshot covers") {
  const auto Base = encodeSnapshot({2, 3, group(3)});
  const auto Kept =
      recover(Base, {encodeFrame(command(1, 1)), encodeFrame(command(2, 3)),
                     encodeFrame(command(3, 3))});
  REQUIRE(Kept.ok());
  CHECK(Kept->Records == std::vector<log_record>{command(3, 3)});
  CHECK(Kept->State == term_state{3, replica_id::none});
  CHECK(Kept->LogOutdated);
  const auto Dropped =
      recover(Base, {encodeFrame(command(1, 1)), encodeFrame(command(2, 1)),
                     encodeFrame(command(3, 1))});
  REQUIRE(Dropped.ok());
  CHECK(Dropped->Records.empty());
  CHECK(Dropped->LogOutdated);
  CHECK_FALSE(recover(Base, {encodeFrame(command(3, 3))})->LogOutdated);
}

} // namespace acacianotch::test
