/// \file Splitting of event streams.
#include "gateway/event_splitter.h"

#include <doctest/doctest.h>

using namespace acacianotch;

// Guards against a partial event that reaches a caller before the stream
// resumes at another server.
TEST_CASE("only complete events are taken") {
  event_splitter Splitter;
  Splitter.add("id: 1\ndata: a\n");
  CHECK(Splitter.takeEvents().empty());
  Splitter.add("\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(Splitter.takeEvents() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Splitter.lastId() == "2");
  CHECK(Splitter.count() == 2);
  Splitter.dropRest();
  Splitter.add("id: 3\ndata: c\n\n");
  CHECK(Splitter.takeEvents() == "id: 3\ndata: c\n\n");
  CHECK(Splitter.lastId() == "3");
}

// Guards against a stream that resumes at the wrong position.
TEST_CASE("an event without an id keeps the last id") {
  event_splitter Splitter;
  Splitter.add("id:7\ndata: a\n\ndata: id: 9\n\n");
  CHECK_FALSE(Splitter.takeEvents().empty());
  CHECK(Splitter.lastId() == "7");
  Splitter.add("tail");
  CHECK(Splitter.takeRest() == "tail");
}
