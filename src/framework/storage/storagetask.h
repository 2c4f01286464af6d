#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_STORAGETASK_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_STORAGETASK_H

#include "framework/storage/recordlog.h"
#include "framework/storage/types/storagerequest.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace sapphiremoor {

/// Owns a RecordLog and a thread that executes requests on it in order. All
/// requests that are queued when the thread becomes free form one batch with
/// one sync (group commit).
class StorageTask {
public:
  /// Receives the replies of one batch, in the order of the requests. It is
  /// called on the storage thread, so it must pass them to the thread that
  /// needs them.
  using ReplyHandler = std::function<void(std::vector<StorageReply>)>;

  /// Starts the thread.
  StorageTask(std::unique_ptr<RecordLog> Log, ReplyHandler OnReplies);

  StorageTask(const StorageTask &) = delete;
  StorageTask &operator=(const StorageTask &) = delete;

  /// Executes the queued requests, then ends the thread.
  ~StorageTask();

  /// Queues \p Request. May be called on any thread.
  void submit(StorageRequest Request);

private:
  void run();
  std::vector<StorageRequest> nextBatch();
  std::vector<StorageReply> processBatch(std::vector<StorageRequest> Batch);
  Result<Done> applyAction(const StorageAction &Action);
  Result<Done> finishBatch();

  std::unique_ptr<RecordLog> Log;
  ReplyHandler OnReplies;
  /// The last state of the current batch. It is written after the sync of the
  /// log.
  std::optional<std::string> PendingState;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::vector<StorageRequest> Queue;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_STORAGETASK_H
