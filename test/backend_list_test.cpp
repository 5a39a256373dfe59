/// \file The platform's list of backend servers between processes.
#include "node/backend_list.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto record(const std::string &Id) -> backend_record {
  backend_record Row;
  Row.Id = Id;
  Row.Service = "s";
  Row.Address = {"127.0.0.1", 80};
  Row.Zone = "a";
  Row.Version = "v1";
  Row.Slots = 4;
  Row.Leaving = true;
  Row.StartedMs = 1'700'000'000'000;
  return Row;
}

} // namespace

// Guards against fields that get lost between control and a gateway.
TEST_CASE("a list is read as it was written") {
  backend_list List;
  CHECK(List.take({record("i-1"), record("i-2")}, time_point{}));
  capnp::MallocMessageBuilder Message;
  auto Root = Message.initRoot<wire::BackendList>();
  const auto Later = time_point{} + std::chrono::milliseconds(700);
  writeBackends(Root, List, true, Later);
  CHECK(Root.getAgeMs() == 700);
  CHECK(Root.getHasRows());
  CHECK(readBackends(Root.asReader()) == List.Rows);
  writeBackends(Root, List, false, Later);
  CHECK_FALSE(Root.getHasRows());
}

// Guards against a list that is sent to every node again and again, and against
// one that seems old because nothing in it changes.
TEST_CASE("a list has a new number only if its rows differ") {
  backend_list List;
  CHECK(List.take({}, time_point{}));
  CHECK(List.take({record("i-1")}, time_point{}));
  const auto Number = List.Number;
  auto Warming = record("i-1");
  Warming.Warmup = std::chrono::seconds(3);
  const auto Later = time_point{} + std::chrono::seconds(1);
  CHECK_FALSE(List.take({Warming}, Later));
  CHECK(List.Number == Number);
  CHECK(List.ReadAt == Later);
}
