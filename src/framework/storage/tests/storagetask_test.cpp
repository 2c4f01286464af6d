#include "framework/storage/storagetask.h"
#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

namespace {

using Strings = std::vector<std::string>;

/// Collects replies; the fsync of the log can be held back or made to fail.
struct Probe {
  TemporaryFolder Folder;
  FileOperations Files = systemFileOperations();
  std::atomic<int> Syncs = 0;
  std::atomic<bool> Fail = false;
  std::promise<void> Release;
  std::promise<void> Entered;
  std::vector<StorageReply> Replies;

  Probe() {
    Files.Fsync = [this, System = systemFileOperations(),
                   Gate = Release.get_future().share()](int Descriptor) {
      if (!Armed)
        return System.Fsync(Descriptor);
      if (Syncs++ == 0) {
        Entered.set_value();
        Gate.wait();
      }
      return Fail ? -1 : System.Fsync(Descriptor);
    };
  }

  std::unique_ptr<StorageTask> start() {
    OpenedLog Opened = takeValue(RecordLog::open(Folder.Path, Files));
    Armed = true;
    return std::make_unique<StorageTask>(
        std::move(Opened.Log), [this](std::vector<StorageReply> Batch) {
          Replies.insert(Replies.end(), Batch.begin(), Batch.end());
        });
  }

private:
  std::atomic<bool> Armed = false;
};

void submitAppend(StorageTask &Task, uint64_t Index) {
  Task.submit({Index, AppendRecords{Index, {std::to_string(Index)}}});
}

} // namespace

TEST_CASE("appends that wait share one sync and are answered in order") {
  // Guards against one sync for each record and against early replies.
  Probe Watched;
  std::unique_ptr<StorageTask> Task = Watched.start();
  submitAppend(*Task, 1);
  Watched.Entered.get_future().wait();
  CHECK(Watched.Replies.empty());
  for (uint64_t Index = 2; Index <= 100; ++Index)
    submitAppend(*Task, Index);
  Watched.Release.set_value();
  Task.reset();
  CHECK(Watched.Syncs == 2);
  REQUIRE(Watched.Replies.size() == 100);
  for (uint64_t I = 0; I < 100; ++I) {
    CHECK(Watched.Replies[I].Number == I + 1);
    CHECK_FALSE(isError(Watched.Replies[I].Outcome));
  }
  CHECK(
      valueOf(RecordLog::open(Watched.Folder.Path)).Recovered.Records.size() ==
      100);
}

TEST_CASE("appends between two syncs are one write") {
  // Guards against a log with a gap after a loss of power: of several writes
  // that were not synced, a later one may be kept and an earlier one lost.
  Probe Watched;
  std::atomic<int> Writes = 0;
  Watched.Files.Write = [&Writes, System = systemFileOperations()](
                            int Descriptor, const char *Bytes,
                            std::size_t Size) {
    ++Writes;
    return System.Write(Descriptor, Bytes, Size);
  };
  std::unique_ptr<StorageTask> Task = Watched.start();
  submitAppend(*Task, 1);
  Watched.Entered.get_future().wait();
  const int Before = Writes;
  for (uint64_t Index = 2; Index <= 20; ++Index)
    submitAppend(*Task, Index);
  Watched.Release.set_value();
  Task.reset();
  CHECK(Writes == Before + 1);
}

TEST_CASE("a failed sync fails its batch and all later requests") {
  // Guards against an acknowledged record that was never durable.
  Probe Watched;
  std::unique_ptr<StorageTask> Task = Watched.start();
  Watched.Fail = true;
  submitAppend(*Task, 1);
  Watched.Entered.get_future().wait();
  submitAppend(*Task, 2);
  Task->submit({3, ReplaceState{"vote"}});
  Watched.Release.set_value();
  Task.reset();
  REQUIRE(Watched.Replies.size() == 3);
  for (const StorageReply &Reply : Watched.Replies) {
    REQUIRE(isError(Reply.Outcome));
    CHECK(errorOf(Reply.Outcome).Kind == ErrorKind::StorageFailure);
  }
}

TEST_CASE("an append with a gap loses the copy") {
  Probe Watched;
  Watched.Release.set_value();
  std::unique_ptr<StorageTask> Task = Watched.start();
  submitAppend(*Task, 5);
  submitAppend(*Task, 1);
  Task.reset();
  REQUIRE(Watched.Replies.size() == 2);
  CHECK(isError(Watched.Replies[0].Outcome));
  CHECK(isError(Watched.Replies[1].Outcome));
}
