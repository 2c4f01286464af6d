#ifndef SAPPHIREMOOR_CLUSTER_RECOVERINGSTORAGE_H
#define SAPPHIREMOOR_CLUSTER_RECOVERINGSTORAGE_H

#include "framework/net/eventloop.h"
#include "framework/net/timer.h"
#include "framework/storage/fileoperations.h"
#include "framework/storage/storagetask.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiremoor {

/// A data folder whose writes run on a thread of their own, with replies in the
/// event loop. After a failed write it is opened again, each half second, until
/// it takes writes.
class RecoveringStorage {
public:
  struct Callbacks {
    /// The requests with these numbers are durable.
    std::function<void(const std::vector<uint64_t> &)> OnDurable;
    /// The folder was opened again. Earlier requests without a reply get none,
    /// so the complete state has to be written.
    std::function<void(const RecoveredFolder &)> OnReopened;
  };

  RecoveringStorage(EventLoop &Loop, std::string Folder,
                    Callbacks EventHandlers,
                    FileOperations Files = systemFileOperations());

  /// Opens the folder and returns its content.
  Result<RecoveredFolder> open();
  /// Queues \p Request. It gets no reply if a write has failed.
  void submit(StorageRequest Request);
  /// Returns true from a failed write until the next one that succeeds.
  bool failed() const { return Failed; }

private:
  void reopen();
  void handleReplies(const std::vector<StorageReply> &Replies);
  void handleFailure(const Error &Reason);

  EventLoop &Loop;
  std::string Folder;
  Callbacks Handlers;
  FileOperations Files;
  std::unique_ptr<StorageTask> Storage;
  /// Number of times that the folder was opened. Replies from before the last
  /// time are ignored.
  uint64_t Openings = 0;
  bool Failed = false;
  bool ReopenPending = false;
  Timer ReopenTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_RECOVERINGSTORAGE_H
