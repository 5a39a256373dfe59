/// \file Tests of the data folder, the log file and atomically replaced files.
#include "memory_file_system.h"
#include "storage/checksummed_file.h"
#include "storage/data_folder.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"
#include "storage/posix_file_system.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace acacianotch::test {

namespace {

using memory_log = log_file<memory_file_system>;

const std::string Folder = "data";
const std::string LogPath = "data/log";

/// Temporary folder on the real disk, removed on destruction.
struct scratch_folder {
  scratch_folder() {
    auto Name =
        (std::filesystem::temp_directory_path() / "storageXXXXXX").string();
    Path = ::mkdtemp(Name.data()) != nullptr ? Name : std::string();
  }
  scratch_folder(const scratch_folder &) = delete;
  auto operator=(const scratch_folder &) -> scratch_folder & = delete;
  ~scratch_folder() { std::filesystem::remove_all(Path); }
  std::string Path;
};

auto openLog(memory_file_system &Files) -> result<memory_log::open_result> {
  return memory_log::open(Files, Folder, "log");
}

/// Appends and syncs each frame separately.
auto fill(memory_log &Log, const std::vector<std::string> &Frames) -> void {
  for (const auto &Frame : Frames) {
    REQUIRE(Log.append(Frame).ok());
    REQUIRE(Log.sync().ok());
  }
}

/// \return a file system with a log of "first", "second" and "third".
auto filledDisk() -> memory_file_system {
  memory_file_system Files;
  auto Opened = openLog(Files);
  REQUIRE(Opened.ok());
  fill(Opened->Log, {"first", "second", "third"});
  return Files;
}

} // namespace

// Guards against two processes that write to the same data folder.
TEST_CASE("a second process cannot open the data folder") {
  const scratch_folder Scratch;
  const auto Path = Scratch.Path + "/data";
  {
    const auto First = data_folder::open(Path);
    REQUIRE(First.ok());
    const auto Child = ::fork();
    if (Child == 0) {
      const auto Second = data_folder::open(Path);
      ::_exit(!Second && Second.error().Code == errc::address_in_use ? 0 : 1);
    }
    int Status = -1;
    REQUIRE(::waitpid(Child, &Status, 0) == Child);
    CHECK(Status == 0);
  }
  CHECK(data_folder::open(Path).ok());
}

// Guards against a change of the replica id of a folder: the folder could vote
// again in a term in which the replica with that id has already voted.
TEST_CASE("the identity of a data folder cannot be changed") {
  const scratch_folder Scratch;
  posix_file_system Files;
  const auto Before = readIdentity(Files, Scratch.Path);
  REQUIRE(Before.ok());
  CHECK_FALSE(Before->has_value());
  REQUIRE(createIdentity(Files, Scratch.Path, {7, 2}).ok());
  const auto Again = createIdentity(Files, Scratch.Path, {7, 3});
  REQUIRE_FALSE(Again.ok());
  CHECK(Again.error().Code == errc::bad_settings);
  const auto Identity = readIdentity(Files, Scratch.Path);
  REQUIRE(Identity.ok());
  CHECK(**Identity == identity{7, 2});
  CHECK_FALSE(decodeIdentity(R"({"group":1,"replica":-1})").ok());
  CHECK_FALSE(decodeIdentity("[]").ok());
  CHECK_FALSE(decodeIdentity("{").ok());
}

// Guards against lost or reordered records on a real file system.
TEST_CASE("a log file returns what was synced") {
  const scratch_folder Scratch;
  posix_file_system Files;
  using posix_log = log_file<posix_file_system>;
  {
    auto Opened = posix_log::open(Files, Scratch.Path, "log");
    REQUIRE(Opened.ok());
    CHECK(Opened->Frames.empty());
    REQUIRE(Opened->Log.append("old").ok());
    REQUIRE(Opened->Log.sync().ok());
    REQUIRE(Opened->Log.replace({"first"}).ok());
    REQUIRE(Opened->Log.append("").ok());
    REQUIRE(Opened->Log.append(std::string("\0x", 2)).ok());
    REQUIRE(Opened->Log.sync().ok());
    CHECK(Opened->Log.size() ==
          std::filesystem::file_size(Scratch.Path + "/log"));
  }
  const auto Reopened = posix_log::open(Files, Scratch.Path, "log");
  REQUIRE(Reopened.ok());
  CHECK(Reopened->Frames ==
        std::vector<std::string>{"first", "", std::string("\0x", 2)});
  CHECK(Reopened->TornBytes == 0);
}

// Guards against a sync for each record, which would limit the commit rate to
// the sync rate of the disk.
TEST_CASE("a batch of records costs one write and one sync") {
  auto Files = filledDisk();
  auto Opened = openLog(Files);
  REQUIRE(Opened.ok());
  Files.OperationsLeft = 2;
  for (auto Count = 0; Count < 64; ++Count)
    REQUIRE(Opened->Log.append("record").ok());
  CHECK(Opened->Log.sync().ok());
  CHECK(Opened->Log.sync().ok());
}

// Guards against a log that cannot be read after a crash during a write: the
// synced records must be intact for every length of the torn tail.
TEST_CASE("a torn tail of any length is removed") {
  const auto Whole = filledDisk().data(LogPath);
  const auto Synced = Whole.size() - FrameOverhead - 5;
  for (auto Size = Synced; Size < Whole.size(); ++Size) {
    auto Files = filledDisk();
    Files.data(LogPath).resize(Size);
    const auto Opened = openLog(Files);
    REQUIRE(Opened.ok());
    CHECK(Opened->Frames == std::vector<std::string>{"first", "second"});
    CHECK(Opened->TornBytes == Size - Synced);
    CHECK(Files.data(LogPath).size() == Synced);
  }
}

// Guards against undetected loss of synced records: damage to any byte before
// the last synced batch must be reported with file and offset.
TEST_CASE("damage before synced records is rejected") {
  const auto Whole = filledDisk().data(LogPath);
  const auto LastFrame = Whole.size() - FrameOverhead - 5;
  for (std::size_t Offset = 0; Offset < LastFrame; ++Offset) {
    auto Files = filledDisk();
    Files.data(LogPath)[Offset] ^= 0x10;
    const auto Opened = openLog(Files);
    REQUIRE_FALSE(Opened.ok());
    CHECK(Opened.error().Code == errc::corrupt_data);
    CHECK(Opened.error().Detail.find(LogPath + " at offset") == 0);
  }
  auto Files = filledDisk();
  Files.data(LogPath)[8 + FrameOverhead + 5 + FrameOverhead] ^= 1;
  CHECK(openLog(Files).error().Detail.find("at offset 37:") !=
        std::string::npos);
}

// Guards against rejecting the log after a crash in which a later page of an
// unsynced batch reached the disk and an earlier one did not.
TEST_CASE("damage within an unsynced batch is a torn tail") {
  auto Files = filledDisk();
  const auto Synced = Files.data(LogPath).size();
  {
    auto Opened = openLog(Files);
    REQUIRE(Opened.ok());
    REQUIRE(Opened->Log.append("fourth").ok());
    REQUIRE(Opened->Log.append("fifth").ok());
    REQUIRE(Opened->Log.write().ok());
  }
  Files.data(LogPath)[Synced + 3] = 0;
  const auto Opened = openLog(Files);
  REQUIRE(Opened.ok());
  CHECK(Opened->Frames.size() == 3);
}

// Guards against misreading a log file written by a newer version.
TEST_CASE("an unknown format version is rejected") {
  auto Files = filledDisk();
  Files.data(LogPath)[4] = 9;
  const auto Opened = openLog(Files);
  REQUIRE_FALSE(Opened.ok());
  CHECK(Opened.error().Detail ==
        "data/log at offset 4: unknown format version 9");
}

// Guards against reporting success after a failed write or sync: the page cache
// may have dropped the data, so a later successful sync does not make it
// durable.
TEST_CASE("a log file rejects all calls after an error") {
  auto Files = filledDisk();
  auto Opened = openLog(Files);
  REQUIRE(Opened.ok());
  auto &Log = Opened->Log;
  REQUIRE(Log.append("fourth").ok());
  SUBCASE("sync fails") { Files.FailSync = true; }
  SUBCASE("disk is full") { Files.FreeBytes = 10; }
  const auto Outcome = Log.sync();
  REQUIRE_FALSE(Outcome.ok());
  CHECK(Outcome.error().Code == errc::storage_failed);
  Files.clearFaults();
  CHECK_FALSE(Log.append("fifth").ok());
  CHECK_FALSE(Log.sync().ok());
  CHECK_FALSE(Log.replace({}).ok());
}

// Guards against a crash during replacement that leaves neither the old nor the
// new content.
TEST_CASE("a replaced file has old or new content after a crash") {
  for (std::uint64_t Steps = 0; Steps < 6; ++Steps) {
    for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
      seeded_random Random(Seed);
      memory_file_system Files;
      const auto Put = [&](std::string_view Text) {
        return replaceChecksummedFile(Files, Folder, "snapshot", SnapshotKind,
                                      Text);
      };
      REQUIRE(Put("old").ok());
      Files.OperationsLeft = Steps;
      const auto Written = Put("new");
      CHECK(Written.ok() == (Steps >= 5));
      Files.crash(Random);
      const auto Read =
          readChecksummedFile(Files, Folder, "snapshot", SnapshotKind);
      REQUIRE(Read.ok());
      REQUIRE(Read->has_value());
      CHECK((**Read == "new" || (!Written.ok() && **Read == "old")));
    }
  }
}

// Guards against loading a damaged snapshot or a file of another type.
TEST_CASE("a damaged file is rejected") {
  memory_file_system Files;
  REQUIRE(
      replaceChecksummedFile(Files, Folder, "snapshot", SnapshotKind, "state")
          .ok());
  const auto Path = Folder + "/snapshot";
  CHECK_FALSE(
      readChecksummedFile(Files, Folder, "snapshot", IdentityKind).ok());
  for (std::size_t Offset = 0; Offset < Files.data(Path).size(); ++Offset) {
    Files.data(Path)[Offset] ^= 4;
    const auto Read =
        readChecksummedFile(Files, Folder, "snapshot", SnapshotKind);
    REQUIRE_FALSE(Read.ok());
    CHECK(Read.error().Code == errc::corrupt_data);
    Files.data(Path)[Offset] ^= 4;
  }
}

} // namespace acacianotch::test
