#include "framework/storage/storagetask.h"
#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

namespace {

using Strings = std::vector<std::string>;

/// A storage task that collects its replies. The first fsync of the log can be
/// blocked, and any fsync can be made to fail.
struct TestStorage {
  TemporaryFolder Folder;
  FileOperations Files = systemFileOperations();
  std::atomic<int> FsyncCount = 0;
  std::atomic<bool> FailFsync = false;
  std::promise<void> ReleaseFirstFsync;
  std::promise<void> FirstFsyncEntered;
  std::vector<StorageReply> Replies;

  TestStorage() {
    Files.Fsync = [this, System = systemFileOperations(),
                   Gate =
                       ReleaseFirstFsync.get_future().share()](int Descriptor) {
      if (!InterceptFsync)
        return System.Fsync(Descriptor);
      if (FsyncCount++ == 0) {
        FirstFsyncEntered.set_value();
        Gate.wait();
      }
      return FailFsync ? -1 : System.Fsync(Descriptor);
    };
  }

  std::unique_ptr<StorageTask> start() {
    OpenedLog OpenLog = takeValue(RecordLog::open(Folder.Path, Files));
    InterceptFsync = true;
    return std::make_unique<StorageTask>(
        std::move(OpenLog.Log), [this](std::vector<StorageReply> Batch) {
          Replies.insert(Replies.end(), Batch.begin(), Batch.end());
        });
  }

private:
  std::atomic<bool> InterceptFsync = false;
};

void submitAppend(StorageTask &Task, uint64_t Index) {
  Task.submit({Index, AppendRecords{Index, {std::to_string(Index)}}});
}

} // namespace

TEST_CASE("queued appends share one sync and get their replies in order") {
  // Guards against one sync for each record and against early replies.
  TestStorage Storage;
  std::unique_ptr<StorageTask> Task = Storage.start();
  submitAppend(*Task, 1);
  Storage.FirstFsyncEntered.get_future().wait();
  CHECK(Storage.Replies.empty());
  for (uint64_t Index = 2; Index <= 100; ++Index)
    submitAppend(*Task, Index);
  Storage.ReleaseFirstFsync.set_value();
  Task.reset();
  CHECK(Storage.FsyncCount == 2);
  REQUIRE(Storage.Replies.size() == 100);
  for (uint64_t I = 0; I < 100; ++I) {
    CHECK(Storage.Replies[I].Number == I + 1);
    CHECK_FALSE(isError(Storage.Replies[I].Outcome));
  }
  CHECK(
      valueOf(RecordLog::open(Storage.Folder.Path)).Recovered.Records.size() ==
      100);
}

TEST_CASE("appends between two syncs are one write") {
  // Guards against a log with a gap after a power loss: of several writes that
  // were not synced, a later one may be kept and an earlier one lost.
  TestStorage Storage;
  std::atomic<int> Writes = 0;
  Storage.Files.Write = [&Writes, System = systemFileOperations()](
                            int Descriptor, const char *Bytes,
                            std::size_t Size) {
    ++Writes;
    return System.Write(Descriptor, Bytes, Size);
  };
  std::unique_ptr<StorageTask> Task = Storage.start();
  submitAppend(*Task, 1);
  Storage.FirstFsyncEntered.get_future().wait();
  const int WritesBefore = Writes;
  for (uint64_t Index = 2; Index <= 20; ++Index)
    submitAppend(*Task, Index);
  Storage.ReleaseFirstFsync.set_value();
  Task.reset();
  CHECK(Writes == WritesBefore + 1);
}

TEST_CASE("a failed sync fails its batch and all later requests") {
  // Guards against an acknowledged record that was never durable.
  TestStorage Storage;
  std::unique_ptr<StorageTask> Task = Storage.start();
  Storage.FailFsync = true;
  submitAppend(*Task, 1);
  Storage.FirstFsyncEntered.get_future().wait();
  submitAppend(*Task, 2);
  Task->submit({3, ReplaceState{"vote"}});
  Storage.ReleaseFirstFsync.set_value();
  Task.reset();
  REQUIRE(Storage.Replies.size() == 3);
  for (const StorageReply &Reply : Storage.Replies) {
    REQUIRE(isError(Reply.Outcome));
    CHECK(errorOf(Reply.Outcome).Kind == ErrorKind::StorageFailure);
  }
}

TEST_CASE("an append with a gap fails and so do all later appends") {
  TestStorage Storage;
  Storage.ReleaseFirstFsync.set_value();
  std::unique_ptr<StorageTask> Task = Storage.start();
  submitAppend(*Task, 5);
  submitAppend(*Task, 1);
  Task.reset();
  REQUIRE(Storage.Replies.size() == 2);
  CHECK(isError(Storage.Replies[0].Outcome));
  CHECK(isError(Storage.Replies[1].Outcome));
}
