#include "framework/storage/recordlog.h"
#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <ranges>
#include <string>
#include <vector>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

using Strings = std::vector<std::string>;

namespace {

RecoveredFolder mustOpen(const TemporaryFolder &Folder,
                         const FileOperations &Files = systemFileOperations()) {
  Result<OpenedLog> Opened = RecordLog::open(Folder.Path, Files);
  REQUIRE_FALSE(isError(Opened));
  return takeValue(std::move(Opened)).Recovered;
}

void writeRecords(const TemporaryFolder &Folder, const Strings &Records) {
  OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
  REQUIRE_FALSE(isError(Opened.Log->append(Opened.Log->nextIndex(), Records)));
  REQUIRE_FALSE(isError(Opened.Log->sync()));
}

ErrorKind openError(const TemporaryFolder &Folder) {
  const Result<OpenedLog> Opened = RecordLog::open(Folder.Path);
  REQUIRE(isError(Opened));
  CHECK_FALSE(errorOf(Opened).Remedy.empty());
  return errorOf(Opened).Kind;
}

/// A folder whose operations fail at will.
struct FaultyFiles {
  FileOperations Operations = systemFileOperations();
  bool FailFsync = false;
  bool FailRename = false;
  /// Bytes until the disk is full.
  std::size_t Space = SIZE_MAX;
  std::size_t LongestWrite = SIZE_MAX;

  FaultyFiles() {
    const FileOperations System = systemFileOperations();
    Operations.Fsync = [this, System](int Descriptor) {
      errno = EIO;
      return FailFsync ? -1 : System.Fsync(Descriptor);
    };
    Operations.Rename = [this, System](const auto &From, const auto &To) {
      errno = EIO;
      return FailRename ? -1 : System.Rename(From, To);
    };
    Operations.Write = [this, System](int Descriptor, const char *Bytes,
                                      std::size_t Size) -> ssize_t {
      errno = ENOSPC;
      if (Space == 0)
        return -1;
      const std::size_t Part = std::min({Size, Space, LongestWrite});
      Space -= Part;
      return System.Write(Descriptor, Bytes, Part);
    };
  }
};

} // namespace

TEST_CASE("a log cut at any byte recovers the whole records before the cut") {
  // Guards against a torn tail that is served, refused, or left in the file.
  ::setenv("RC_PARAMS", "seed=20261204 max_success=20", 0);
  // Thousands of syncs on a busy disk would take minutes, and no power is lost.
  FileOperations Files = systemFileOperations();
  Files.Fsync = [](int) { return 0; };
  const bool Passed = rc::check([&Files](const Strings &Records) {
    const TemporaryFolder Folder;
    const std::size_t Header = [&Folder] {
      mustOpen(Folder);
      return Folder.read("log").size();
    }();
    writeRecords(Folder, Records);
    const std::string Bytes = Folder.read("log");
    std::size_t Whole = 0;
    std::size_t End = Header;
    for (std::size_t Cut = Header; Cut <= Bytes.size(); ++Cut) {
      if (Whole < Records.size() && Cut == End + 16 + Records[Whole].size())
        End += 16 + Records[Whole++].size();
      Folder.write("log", Bytes.substr(0, Cut));
      const RecoveredFolder Recovered = mustOpen(Folder, Files);
      RC_ASSERT(std::ranges::equal(Recovered.Records,
                                   Records | std::views::take(Whole)));
      RC_ASSERT(Recovered.CutBytes == Cut - End);
      RC_ASSERT(Folder.read("log").size() == End);
    }
  });
  CHECK(Passed);
}

TEST_CASE("a damaged record before valid ones is refused, at any byte") {
  // Guards against dropping acknowledged records as if they were a torn tail.
  const TemporaryFolder Folder;
  writeRecords(Folder, {"first", "second", "third"});
  const std::string Bytes = Folder.read("log");
  const std::size_t LastRecord = Bytes.size() - 16 - 5;
  for (std::size_t Offset = 0; Offset < LastRecord; ++Offset) {
    std::string Damaged = Bytes;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x40);
    Folder.write("log", Damaged);
    CHECK(openError(Folder) == ErrorKind::CorruptData);
  }
}

TEST_CASE("after a failed fsync the log refuses everything") {
  // Guards against a second fsync whose success hides lost pages.
  const TemporaryFolder Folder;
  FaultyFiles Faulty;
  OpenedLog Opened = takeValue(RecordLog::open(Folder.Path, Faulty.Operations));
  RecordLog &Log = *Opened.Log;
  REQUIRE_FALSE(isError(Log.append(1, Strings{"a"})));
  Faulty.FailFsync = true;
  CHECK(errorOf(Log.sync()).Kind == ErrorKind::StorageFailure);
  Faulty.FailFsync = false;
  CHECK(errorOf(Log.sync()).Kind == ErrorKind::StorageFailure);
  CHECK(isError(Log.append(2, Strings{"b"})));
  CHECK(isError(Log.truncateFrom(1)));
  CHECK(isError(Log.replaceState("s")));
  CHECK(isError(Log.replaceSnapshot("s", 1, false)));
}

TEST_CASE("a full disk is a failure and a short write is continued") {
  const TemporaryFolder Folder;
  FaultyFiles Faulty;
  OpenedLog Opened = takeValue(RecordLog::open(Folder.Path, Faulty.Operations));
  Faulty.LongestWrite = 3;
  REQUIRE_FALSE(isError(Opened.Log->append(1, Strings{"whole record"})));
  REQUIRE_FALSE(isError(Opened.Log->sync()));
  Faulty.Space = 7;
  const Result<Done> Full = Opened.Log->append(2, Strings{"no room"});
  REQUIRE(isError(Full));
  CHECK(errorOf(Full).Kind == ErrorKind::StorageFailure);
  const RecoveredFolder Recovered = mustOpen(Folder);
  CHECK(Recovered.Records == Strings{"whole record"});
  CHECK(Recovered.CutBytes == 7);
}

TEST_CASE("truncation and compaction keep the right records") {
  const TemporaryFolder Folder;
  {
    OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
    RecordLog &Log = *Opened.Log;
    REQUIRE_FALSE(isError(Log.append(1, Strings{"a", "b", "c", "d"})));
    REQUIRE_FALSE(isError(Log.truncateFrom(4)));
    REQUIRE_FALSE(isError(Log.replaceSnapshot("state at 2", 3, false)));
    REQUIRE_FALSE(isError(Log.append(4, Strings{"e"})));
    REQUIRE_FALSE(isError(Log.sync()));
  }
  const RecoveredFolder Kept = mustOpen(Folder);
  CHECK(Kept.Records == Strings{"c", "e"});
  CHECK(Kept.FirstIndex == 3);
  CHECK(Kept.Snapshot == "state at 2");
  {
    OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
    REQUIRE_FALSE(isError(Opened.Log->replaceSnapshot("newer", 50, true)));
    CHECK(Opened.Log->nextIndex() == 50);
  }
  CHECK(mustOpen(Folder).Records.empty());
  CHECK(mustOpen(Folder).FirstIndex == 50);
}

TEST_CASE("a snapshot that fails to replace leaves the old one") {
  // Guards against a crash between the steps that loses both snapshots.
  const TemporaryFolder Folder;
  FaultyFiles Faulty;
  OpenedLog Opened = takeValue(RecordLog::open(Folder.Path, Faulty.Operations));
  REQUIRE_FALSE(isError(Opened.Log->replaceSnapshot("old", 1, false)));
  Faulty.FailRename = true;
  CHECK(isError(Opened.Log->replaceSnapshot("new", 1, false)));
  CHECK(mustOpen(Folder).Snapshot == "old");
}

TEST_CASE("the identity stays with its folder and its log") {
  // Guards against a wiped voter that comes back under its old identity.
  const TemporaryFolder Folder;
  const uint64_t Identity = mustOpen(Folder).Identity;
  CHECK(mustOpen(Folder).Identity == Identity);
  std::filesystem::remove(Folder.Path + "/log");
  CHECK(openError(Folder) == ErrorKind::CorruptData);
  std::filesystem::remove(Folder.Path + "/identity");
  CHECK(mustOpen(Folder).Identity != Identity);
}

TEST_CASE("a damaged state file is refused") {
  const TemporaryFolder Folder;
  {
    OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
    REQUIRE_FALSE(isError(Opened.Log->replaceState("vote")));
  }
  std::string Bytes = Folder.read("state");
  Bytes.back() = static_cast<char>(Bytes.back() ^ 1);
  Folder.write("state", Bytes);
  CHECK(openError(Folder) == ErrorKind::CorruptData);
}
