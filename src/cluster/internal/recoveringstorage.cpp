#include "cluster/recoveringstorage.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace {
constexpr Duration ReopenPeriod = std::chrono::milliseconds(500);
} // namespace

RecoveringStorage::RecoveringStorage(EventLoop &Loop, std::string Folder,
                                     Callbacks EventHandlers,
                                     FileOperations Files)
    : Loop(Loop), Folder(std::move(Folder)), Handlers(std::move(EventHandlers)),
      Files(std::move(Files)), ReopenTimer(Loop, [this] { reopen(); }) {}

Result<RecoveredFolder> RecoveringStorage::open() {
  auto OpenResult = RecordLog::open(Folder, Files);
  if (isError(OpenResult))
    return errorOf(OpenResult);
  OpenedLog Opened = takeValue(std::move(OpenResult));
  const uint64_t Opening = ++Openings;
  Storage = std::make_unique<StorageTask>(
      std::move(Opened.Log),
      [this, Opening](std::vector<StorageReply> Replies) {
        Loop.post([this, Opening, Replies = std::move(Replies)] {
          if (Opening == Openings)
            handleReplies(Replies);
        });
      });
  return std::move(Opened.Recovered);
}

void RecoveringStorage::submit(StorageRequest Request) {
  Storage->submit(std::move(Request));
}

void RecoveringStorage::reopen() {
  ReopenPending = false;
  const Result<RecoveredFolder> Recovered = open();
  if (isError(Recovered))
    handleFailure(errorOf(Recovered));
  else
    Handlers.OnReopened(valueOf(Recovered));
}

void RecoveringStorage::handleReplies(
    const std::vector<StorageReply> &Replies) {
  // A failure fails the whole batch.
  for (const StorageReply &Reply : Replies)
    if (isError(Reply.Outcome)) {
      handleFailure(errorOf(Reply.Outcome));
      return;
    }
  if (std::exchange(Failed, false))
    logEvent(events::StorageRecovered, {{"folder", Folder}});
  std::vector<uint64_t> Numbers;
  std::ranges::transform(Replies, std::back_inserter(Numbers),
                         &StorageReply::Number);
  Handlers.OnDurable(Numbers);
}

void RecoveringStorage::handleFailure(const Error &Reason) {
  if (!std::exchange(Failed, true))
    logEvent(events::StorageFailed, {{"error", describe(Reason)}});
  // Requests go on failing until the folder is opened again.
  if (!std::exchange(ReopenPending, true))
    ReopenTimer.start(ReopenPeriod);
}

} // namespace sapphiremoor
