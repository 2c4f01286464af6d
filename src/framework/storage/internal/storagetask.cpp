#include "framework/storage/storagetask.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// Merges consecutive appends into one. A disk may lose or tear any write that
/// was not synced, so two separate writes could leave a gap before a valid
/// record.
std::vector<StorageAction> mergeAppends(std::vector<StorageRequest> &Batch) {
  std::vector<StorageAction> Merged;
  for (StorageRequest &Request : Batch) {
    auto *Next = std::get_if<AppendRecords>(&Request.Action);
    auto *Last =
        Merged.empty() ? nullptr : std::get_if<AppendRecords>(&Merged.back());
    if (Next == nullptr || Last == nullptr ||
        Next->FirstIndex != Last->FirstIndex + Last->Records.size()) {
      Merged.push_back(std::move(Request.Action));
      continue;
    }
    std::ranges::move(Next->Records, std::back_inserter(Last->Records));
  }
  return Merged;
}

} // namespace

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

StorageTask::StorageTask(std::unique_ptr<RecordLog> Log, ReplyHandler OnReplies)
    : Log(std::move(Log)), OnReplies(std::move(OnReplies)),
      Thread([this] { run(); }) {}

StorageTask::~StorageTask() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_one();
  Thread.join();
}

void StorageTask::submit(StorageRequest Request) {
  {
    const std::lock_guard Lock(Mutex);
    Queue.push_back(std::move(Request));
  }
  Wakeup.notify_one();
}

void StorageTask::run() {
  while (true) {
    std::vector<StorageRequest> Batch = nextBatch();
    if (Batch.empty())
      return;
    OnReplies(processBatch(std::move(Batch)));
  }
}

std::vector<StorageRequest> StorageTask::nextBatch() {
  std::unique_lock Lock(Mutex);
  Wakeup.wait(Lock, [this] { return Stopping || !Queue.empty(); });
  return std::exchange(Queue, {});
}

std::vector<StorageReply>
StorageTask::processBatch(std::vector<StorageRequest> Batch) {
  Result<Done> Outcome = Done{};
  for (const StorageAction &Action : mergeAppends(Batch)) {
    Outcome = applyAction(Action);
    if (isError(Outcome))
      break;
  }
  if (!isError(Outcome))
    Outcome = finishBatch();
  // A failure fails the whole batch, because none of its requests is known to
  // be durable.
  std::vector<StorageReply> Replies;
  std::ranges::transform(Batch, std::back_inserter(Replies),
                         [&Outcome](const StorageRequest &Request) {
                           return StorageReply{Request.Number, Outcome};
                         });
  return Replies;
}

Result<Done> StorageTask::applyAction(const StorageAction &Action) {
  return std::visit(
      Overloaded{[this](const AppendRecords &Append) {
                   return Log->append(Append.FirstIndex, Append.Records);
                 },
                 [this](const TruncateRecords &Truncate) {
                   return Log->truncateFrom(Truncate.FromIndex);
                 },
                 [this](const ReplaceState &Replace) -> Result<Done> {
                   PendingState = Replace.Bytes;
                   return Done{};
                 },
                 [this](const ReplaceSnapshot &Replace) {
                   return Log->replaceSnapshot(Replace.Bytes,
                                               Replace.FirstKeptIndex,
                                               Replace.DropAllRecords);
                 }},
      Action);
}

/// The log is synced before the state is written: a recovered state never
/// refers to a committed record that is missing in the log, unless the log was
/// damaged.
Result<Done> StorageTask::finishBatch() {
  Result<Done> Outcome = Log->sync();
  if (isError(Outcome))
    return Outcome;
  std::optional<std::string> State;
  State.swap(PendingState);
  return State ? Log->replaceState(*State) : Result<Done>(Done{});
}

} // namespace sapphiremoor
