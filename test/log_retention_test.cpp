/// \file Size of the replicated log in memory.
#include "replication/log_view.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

using namespace acacianotch;

// Guards against covered records of large documents that fill the memory.
TEST_CASE("compaction keeps trailing records up to a number of bytes") {
  constexpr std::size_t RecordBytes = 1000;
  std::vector<log_record> Records;
  for (log_index Index = 1; Index <= 100; ++Index)
    Records.push_back(
        {Index, 1, record_kind::command, std::string(RecordBytes, 'x')});
  auto View = log_view::create({}, std::move(Records));
  REQUIRE(View.ok());
  const auto Data = std::make_shared<const std::string>("state");
  View->compact(90, Data, 50, 10 * RecordBytes);
  CHECK(View->firstIndex() == 81);
  CHECK(View->last().Index == 100);
  View->compact(95, Data, 5, 10 * RecordBytes);
  CHECK(View->firstIndex() == 91);
  View->compact(99, Data, 50, RecordBytes - 1);
  CHECK(View->firstIndex() == 100);
}
