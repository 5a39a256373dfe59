/// \file Replay of a stored answer immediately after the first answer.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;

// Guards against a second booking when the caller resends immediately through
// another entry, and against a stored answer that this entry has not received.
TEST_CASE("the same key gets the stored answer through any entry") {
  deployment System({.Replicas = 3, .Engines = 0, .Services = 2});
  for (int Round = 0; Round < 10; ++Round) {
    const auto Place = "court-" + std::to_string(Round);
    const json Body = {{"place", Place}};
    const auto First = startBooking(System.Entries[0], Place, Body)->finish();
    const auto Second = startBooking(System.Entries[1], Place, Body)->finish();
    INFO(First.Body, " then ", Second.Body);
    CHECK(First.Status == 200);
    CHECK(Second.Status == 200);
    CHECK(First.Body == Second.Body);
    CHECK(Second.header("idempotent-replay") == "true");
    CHECK(System.bookings(Place) == 1);
  }
}
