/// \file Tests of the choice of connections to drop.
#include "controller/connection_choice.h"

#include <doctest/doctest.h>

#include <vector>

using namespace acacianotch;

namespace {

constexpr duration Second = std::chrono::seconds(1);
constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = 1024 * Kilobyte;

} // namespace

// Guards against a crowd with large bodies that takes the memory from small
// requests: these would be refused, or dropped in turn.
TEST_CASE("the largest incomplete body is dropped, small ones are kept") {
  const auto Kept = keptBodyBytes(24 * Megabyte, 24);
  std::vector<connection_use> Uses{{2 * Kilobyte, 0, {}, {}},
                                   {3 * Megabyte, 0, {}, {}},
                                   {0, 4 * Megabyte, 9 * Second, {}},
                                   {4 * Megabyte, 0, {}, {}}};
  CHECK(chooseBody(Uses, Kept) == 3);
  Uses[3].BodyBytes = 0;
  CHECK(chooseBody(Uses, Kept) == 1);
  Uses[1].BodyBytes = 0;
  CHECK_FALSE(chooseBody(Uses, Kept).has_value());
}

// Guards against bodies that are each small but together exceed the budget.
TEST_CASE("all bodies that are kept fit into the budget") {
  for (const std::size_t Connections : {1, 60, 500, 5000})
    CHECK(keptBodyBytes(24 * Megabyte, Connections) * Connections <=
          24 * Megabyte);
  CHECK(keptBodyBytes(24 * Megabyte, 0) > 0);
}

// Guards against answers that are broken off although their callers read.
TEST_CASE("only output that is not being read is broken off") {
  std::vector<connection_use> Uses{{0, 3 * Megabyte, Second, {}},
                                   {0, 0, 60 * Second, {}}};
  CHECK_FALSE(chooseUnread(Uses).has_value());
  Uses.push_back({0, Kilobyte, MaxUnreadTime, {}});
  Uses.push_back({0, Megabyte, MaxUnreadTime, {}});
  CHECK(chooseUnread(Uses) == 3);
}

// Guards against a connection with an open request that is closed for a new
// one, and against clients that hold all connections by reading nothing.
TEST_CASE("a new connection replaces the one that has been idle longest") {
  std::vector<connection_use> Uses{{0, 0, {}, Second},
                                   {Kilobyte, 0, {}, {}},
                                   {0, 0, {}, 5 * Second},
                                   {0, Megabyte, 9 * Second, {}}};
  CHECK(chooseReplaced(Uses) == 2);
  Uses[0].Idle.reset();
  Uses[2].Idle.reset();
  CHECK(chooseReplaced(Uses) == 3);
  Uses[3].Unread = Second;
  CHECK_FALSE(chooseReplaced(Uses).has_value());
}
