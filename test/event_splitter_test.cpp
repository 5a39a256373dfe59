/// \file Whole events of a stream.
#include "gateway/event_splitter.h"

#include <doctest/doctest.h>

using namespace acacianotch;

// Guards against half an event that reaches a caller before a stream goes on
// elsewhere.
TEST_CASE("only whole events are taken") {
  event_splitter Events;
  Events.add("id: 1\ndata: a\n");
  CHECK(Events.takeEvents().empty());
  Events.add("\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(Events.takeEvents() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Events.lastId() == "2");
  CHECK(Events.count() == 2);
  Events.dropRest();
  Events.add("id: 3\ndata: c\n\n");
  CHECK(Events.takeEvents() == "id: 3\ndata: c\n\n");
  CHECK(Events.lastId() == "3");
}

// Guards against a stream that goes on from the wrong place.
TEST_CASE("an event without an id keeps the last id") {
  event_splitter Events;
  Events.add("id:7\ndata: a\n\ndata: id: 9\n\n");
  CHECK_FALSE(Events.takeEvents().empty());
  CHECK(Events.lastId() == "7");
  Events.add("tail");
  CHECK(Events.takeRest() == "tail");
}
