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

RecoveredFolder
openAndRecover(const TemporaryFolder &Folder,
               const FileOperations &Files = systemFileOperations()) {
  Result<OpenedLog> LogOrErr = RecordLog::open(Folder.Path, Files);
  REQUIRE_FALSE(isError(LogOrErr));
  return takeValue(std::move(LogOrErr)).Recovered;
}

void writeRecords(const TemporaryFolder &Folder, const Strings &Records) {
  OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path));
  REQUIRE_FALSE(
      isError(OpenLog.Log->append(OpenLog.Log->nextIndex(), Records)));
  REQUIRE_FALSE(isError(OpenLog.Log->sync()));
}

ErrorKind openErrorKind(const TemporaryFolder &Folder) {
  const Result<OpenedLog> LogOrErr = RecordLog::open(Folder.Path);
  REQUIRE(isError(LogOrErr));
  CHECK_FALSE(errorOf(LogOrErr).Remedy.empty());
  return errorOf(LogOrErr).Kind;
}

/// File operations that fail on request.
struct FaultyFiles {
  FileOperations Operations = systemFileOperations();
  bool FailFsync = false;
  bool FailRename = false;
  /// Bytes until the disk is full.
  std::size_t FreeBytes = SIZE_MAX;
  std::size_t MaxWriteBytes = SIZE_MAX;

  FaultyFiles() {
    const FileOperations System = systemFileOperations();
    Operations.Fsync = [this, System](int Descriptor) {
      errno = EIO;
      return FailFsync ? -1 : System.Fsync(Descriptor);
    };
    Operations.Rename = [this, System](const auto &OldPath,
                                       const auto &NewPath) {
      errno = EIO;
      return FailRename ? -1 : System.Rename(OldPath, NewPath);
    };
    Operations.Write = [this, System](int Descriptor, const char *Bytes,
                                      std::size_t Size) -> ssize_t {
      errno = ENOSPC;
      if (FreeBytes == 0)
        return -1;
      const std::size_t WriteBytes = std::min({Size, FreeBytes, MaxWriteBytes});
      FreeBytes -= WriteBytes;
      return System.Write(Descriptor, Bytes, WriteBytes);
    };
  }
};

} // namespace

TEST_CASE("a log cut at any byte recovers the whole records before the cut") {
  // Guards against an incomplete last append that is returned, refused, or left
  // in the file.
  ::setenv("RC_PARAMS", "seed=20261204 max_success=20", 0);
  // Thousands of syncs on a busy disk would take minutes, and the test
  // simulates no power loss.
  FileOperations Files = systemFileOperations();
  Files.Fsync = [](int) { return 0; };
  const bool Passed = rc::check([&Files](const Strings &Records) {
    const TemporaryFolder Folder;
    const std::size_t HeaderBytes = [&Folder] {
      openAndRecover(Folder);
      return Folder.read("log").size();
    }();
    writeRecords(Folder, Records);
    const std::string Bytes = Folder.read("log");
    std::size_t WholeRecords = 0;
    std::size_t EndOffset = HeaderBytes;
    for (std::size_t CutOffset = HeaderBytes; CutOffset <= Bytes.size();
         ++CutOffset) {
      if (WholeRecords < Records.size() &&
          CutOffset == EndOffset + 16 + Records[WholeRecords].size())
        EndOffset += 16 + Records[WholeRecords++].size();
      Folder.write("log", Bytes.substr(0, CutOffset));
      const RecoveredFolder Recovered = openAndRecover(Folder, Files);
      RC_ASSERT(std::ranges::equal(Recovered.Records,
                                   Records | std::views::take(WholeRecords)));
      RC_ASSERT(Recovered.TruncatedBytes == CutOffset - EndOffset);
      RC_ASSERT(Folder.read("log").size() == EndOffset);
    }
  });
  CHECK(Passed);
}

TEST_CASE("a damaged record before valid ones is refused, at any byte") {
  // Guards against dropping acknowledged records as if they were an incomplete
  // last append.
  const TemporaryFolder Folder;
  writeRecords(Folder, {"first", "second", "third"});
  const std::string Bytes = Folder.read("log");
  const std::size_t LastRecordOffset = Bytes.size() - 16 - 5;
  for (std::size_t Offset = 0; Offset < LastRecordOffset; ++Offset) {
    std::string Damaged = Bytes;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x40);
    Folder.write("log", Damaged);
    CHECK(openErrorKind(Folder) == ErrorKind::CorruptData);
  }
}

TEST_CASE("after a failed fsync the log refuses all operations") {
  // Guards against a second fsync that succeeds although pages were lost.
  const TemporaryFolder Folder;
  FaultyFiles Files;
  OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path, Files.Operations));
  RecordLog &Log = *OpenLog.Log;
  REQUIRE_FALSE(isError(Log.append(1, Strings{"a"})));
  Files.FailFsync = true;
  CHECK(errorOf(Log.sync()).Kind == ErrorKind::StorageFailure);
  Files.FailFsync = false;
  CHECK(errorOf(Log.sync()).Kind == ErrorKind::StorageFailure);
  CHECK(isError(Log.append(2, Strings{"b"})));
  CHECK(isError(Log.truncateFrom(1)));
  CHECK(isError(Log.replaceState("s")));
  CHECK(isError(Log.replaceSnapshot("s", 1, false)));
}

TEST_CASE("a full disk is a failure and a short write is continued") {
  const TemporaryFolder Folder;
  FaultyFiles Files;
  OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path, Files.Operations));
  Files.MaxWriteBytes = 3;
  REQUIRE_FALSE(isError(OpenLog.Log->append(1, Strings{"whole record"})));
  REQUIRE_FALSE(isError(OpenLog.Log->sync()));
  Files.FreeBytes = 7;
  const Result<Done> AppendResult = OpenLog.Log->append(2, Strings{"no room"});
  REQUIRE(isError(AppendResult));
  CHECK(errorOf(AppendResult).Kind == ErrorKind::StorageFailure);
  const RecoveredFolder Recovered = openAndRecover(Folder);
  CHECK(Recovered.Records == Strings{"whole record"});
  CHECK(Recovered.TruncatedBytes == 7);
}

TEST_CASE("truncation and compaction keep the right records") {
  const TemporaryFolder Folder;
  {
    OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path));
    RecordLog &Log = *OpenLog.Log;
    REQUIRE_FALSE(isError(Log.append(1, Strings{"a", "b", "c", "d"})));
    REQUIRE_FALSE(isError(Log.truncateFrom(4)));
    REQUIRE_FALSE(isError(Log.replaceSnapshot("state at 2", 3, false)));
    REQUIRE_FALSE(isError(Log.append(4, Strings{"e"})));
    REQUIRE_FALSE(isError(Log.sync()));
  }
  const RecoveredFolder Recovered = openAndRecover(Folder);
  CHECK(Recovered.Records == Strings{"c", "e"});
  CHECK(Recovered.FirstIndex == 3);
  CHECK(Recovered.Snapshot == "state at 2");
  {
    OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path));
    REQUIRE_FALSE(isError(OpenLog.Log->replaceSnapshot("newer", 50, true)));
    CHECK(OpenLog.Log->nextIndex() == 50);
  }
  CHECK(openAndRecover(Folder).Records.empty());
  CHECK(openAndRecover(Folder).FirstIndex == 50);
}

TEST_CASE("a failed snapshot replacement keeps the old snapshot") {
  // Guards against a crash between the steps that loses both snapshots.
  const TemporaryFolder Folder;
  FaultyFiles Files;
  OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path, Files.Operations));
  REQUIRE_FALSE(isError(OpenLog.Log->replaceSnapshot("old", 1, false)));
  Files.FailRename = true;
  CHECK(isError(OpenLog.Log->replaceSnapshot("new", 1, false)));
  CHECK(openAndRecover(Folder).Snapshot == "old");
}

TEST_CASE("a folder keeps its identity, but not without its log") {
  // Guards against a wiped voter that comes back under its old identity.
  const TemporaryFolder Folder;
  const uint64_t Identity = openAndRecover(Folder).Identity;
  CHECK(openAndRecover(Folder).Identity == Identity);
  std::filesystem::remove(Folder.Path + "/log");
  CHECK(openErrorKind(Folder) == ErrorKind::CorruptData);
  std::filesystem::remove(Folder.Path + "/identity");
  CHECK(openAndRecover(Folder).Identity != Identity);
}

TEST_CASE("a damaged state file is refused") {
  const TemporaryFolder Folder;
  {
    OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path));
    REQUIRE_FALSE(isError(OpenLog.Log->replaceState("vote")));
  }
  std::string Bytes = Folder.read("state");
  Bytes.back() = static_cast<char>(Bytes.back() ^ 1);
  Folder.write("state", Bytes);
  CHECK(openErrorKind(Folder) == ErrorKind::CorruptData);
}
