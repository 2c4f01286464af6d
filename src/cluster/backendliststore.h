#ifndef SAPPHIREMOOR_CLUSTER_BACKENDLISTSTORE_H
#define SAPPHIREMOOR_CLUSTER_BACKENDLISTSTORE_H

#include "cluster/types/clustermessage.h"
#include "framework/net/eventloop.h"
#include "framework/net/timer.h"
#include "framework/storage/storagetask.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Keeps the newest reports of all backend servers on disk, so that a control
/// VM that restarts can ask them for work at once and does not have to wait for
/// their next reports. The list is a hint: it may lack the last changes before
/// a crash, and a backend server is used only once it has answered.
class BackendListStore {
public:
  /// \p ReadList returns the reports to be stored.
  BackendListStore(EventLoop &Loop,
                   std::function<std::vector<BackendReport>()> ReadList);

  /// Opens \p Folder and returns the stored reports. After an error, which is
  /// logged, nothing is stored and the list is empty.
  std::vector<BackendReport> open(const std::string &Folder);

  /// Notes that the list has changed. It is written soon; changes that come
  /// while a write is going on are written together.
  void markChanged();

  /// Returns true if the newest list is on disk.
  bool isStored() const { return !Changed && !Writing; }

private:
  void writeIfChanged();
  void handleReplies(const std::vector<StorageReply> &Replies);

  EventLoop &Loop;
  std::function<std::vector<BackendReport>()> ReadList;
  bool Changed = false;
  bool Writing = false;
  Timer WriteTimer;
  std::unique_ptr<StorageTask> Storage;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_BACKENDLISTSTORE_H
