#include "cluster/recoveringstorage.h"
#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

namespace {

/// A folder of numbered records, like the copy of the stored jobs: after the
/// folder was opened again, all records are written as one snapshot.
struct RecordFolder {
  TemporaryFolder Folder;
  EventLoop Loop;
  std::atomic<bool> RefusesWrites = false;
  std::vector<uint64_t> Durable;
  uint64_t LastRecord = 0;
  /// Index of the next record in the log.
  uint64_t NextIndex = 1;
  std::string Content;
  RecoveringStorage Storage;

  RecordFolder()
      : Storage(Loop, Folder.Path,
                {[this](const std::vector<uint64_t> &Numbers) {
                   Durable.insert(Durable.end(), Numbers.begin(),
                                  Numbers.end());
                 },
                 [this](const RecoveredFolder &Reopened) {
                   NextIndex = Reopened.FirstIndex + Reopened.Records.size();
                   Storage.submit(
                       {LastRecord, ReplaceSnapshot{Content, NextIndex, true}});
                 }},
                files()) {}

  FileOperations files() {
    FileOperations Files = systemFileOperations();
    Files.Write = [this, System = Files.Write](
                      int Descriptor, const char *Bytes, std::size_t Size) {
      return RefusesWrites ? ssize_t{-1} : System(Descriptor, Bytes, Size);
    };
    return Files;
  }

  void append() {
    ++LastRecord;
    Content += std::to_string(LastRecord);
    Storage.submit(
        {LastRecord, AppendRecords{NextIndex++, {std::to_string(LastRecord)}}});
  }

  void awaitFailure() {
    while (!Storage.failed())
      Loop.runOnce(true);
  }

  void awaitDurable(uint64_t Number) {
    while (std::ranges::find(Durable, Number) == Durable.end())
      Loop.runOnce(true);
  }
};

} // namespace

// Guards against a data folder that stays unused after one failed write, and
// against records of before that are lost or reported as durable too early.
TEST_CASE("a data folder is opened again after a failed write") {
  RecordFolder Records;
  REQUIRE_FALSE(isError(Records.Storage.open()));
  Records.append();
  Records.awaitDurable(1);
  Records.RefusesWrites = true;
  Records.append();
  Records.awaitFailure();
  Records.append();
  CHECK(Records.Durable == std::vector<uint64_t>{1});
  Records.RefusesWrites = false;
  Records.awaitDurable(3);
  CHECK_FALSE(Records.Storage.failed());
  CHECK(Records.Durable == std::vector<uint64_t>{1, 3});
  const Result<OpenedLog> Opened = RecordLog::open(Records.Folder.Path);
  REQUIRE_FALSE(isError(Opened));
  CHECK(valueOf(Opened).Recovered.Snapshot == "123");
  CHECK(valueOf(Opened).Recovered.Records.empty());
}

// Guards against requests that fail one after the other and each put off the
// time at which the folder is opened again.
TEST_CASE("a data folder is opened again while requests go on failing") {
  RecordFolder Records;
  REQUIRE_FALSE(isError(Records.Storage.open()));
  Records.RefusesWrites = true;
  Records.append();
  Records.awaitFailure();
  Records.RefusesWrites = false;
  const Instant EndTime = Records.Loop.now() + std::chrono::seconds(30);
  Timer Appends(Records.Loop, [&Records] { Records.append(); });
  Appends.startPeriodic(std::chrono::milliseconds(20));
  while (Records.Durable.empty() && Records.Loop.now() < EndTime)
    Records.Loop.runOnce(true);
  CHECK_FALSE(Records.Storage.failed());
}
