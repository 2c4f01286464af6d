#include "cluster/backendliststore.h"

#include "framework/codec/serial.h"
#include "framework/eventlog/eventlog.h"

#include <utility>

namespace sapphiremoor {

namespace {

/// Delay from a change to its write. Many backend servers report within this
/// time after a start, and each write holds all of them.
constexpr Duration WriteDelay = std::chrono::milliseconds(500);

void logFailure(const Error &Reason) {
  logEvent(events::StorageFailed, {{"error", describe(Reason)}});
}

} // namespace

BackendListStore::BackendListStore(
    EventLoop &Loop, std::function<std::vector<BackendReport>()> ReadList)
    : Loop(Loop), ReadList(std::move(ReadList)),
      WriteTimer(Loop, [this] { writeIfChanged(); }) {}

std::vector<BackendReport> BackendListStore::open(const std::string &Folder) {
  auto OpenResult = RecordLog::open(Folder);
  if (isError(OpenResult)) {
    logFailure(errorOf(OpenResult));
    return {};
  }
  OpenedLog Opened = takeValue(std::move(OpenResult));
  Storage = std::make_unique<StorageTask>(
      std::move(Opened.Log), [this](std::vector<StorageReply> Replies) {
        Loop.post(
            [this, Replies = std::move(Replies)] { handleReplies(Replies); });
      });
  if (!Opened.Recovered.State)
    return {};
  Result<BackendReports> Stored =
      decode<BackendReports>(*Opened.Recovered.State);
  if (isError(Stored)) {
    logFailure(errorOf(Stored));
    return {};
  }
  return takeValue(std::move(Stored)).Reports;
}

void BackendListStore::markChanged() {
  if (Storage == nullptr || std::exchange(Changed, true) || Writing)
    return;
  WriteTimer.start(WriteDelay);
}

void BackendListStore::writeIfChanged() {
  if (Storage == nullptr || Writing || !std::exchange(Changed, false))
    return;
  Writing = true;
  Storage->submit({0, ReplaceState{encode(BackendReports{ReadList(), {}})}});
}

void BackendListStore::handleReplies(const std::vector<StorageReply> &Replies) {
  Writing = false;
  const Result<Done> &Outcome = Replies.back().Outcome;
  if (isError(Outcome)) {
    // The folder cannot be used any more. Without the list, the next start
    // waits for reports.
    logFailure(errorOf(Outcome));
    Storage.reset();
    return;
  }
  if (Changed)
    WriteTimer.start(WriteDelay);
}

} // namespace sapphiremoor
