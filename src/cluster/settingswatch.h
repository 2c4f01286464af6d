#ifndef SAPPHIREMOOR_CLUSTER_SETTINGSWATCH_H
#define SAPPHIREMOOR_CLUSTER_SETTINGSWATCH_H

#include "cluster/types/clustersettings.h"
#include "framework/net/eventloop.h"
#include "framework/net/timer.h"

#include <functional>
#include <string>

namespace sapphiremoor {

/// Reads the settings file again on SIGHUP and when its modification time or
/// size changes. If the file is invalid, the error is logged and the settings
/// stay as they are.
class SettingsWatch {
public:
  using Handler = std::function<void(const ClusterSettings &)>;

  SettingsWatch(EventLoop &Loop, std::string Path, Handler OnChange);

private:
  /// Modification time and size, which show that the file has changed.
  struct FileStamp {
    int64_t Seconds = 0;
    int64_t Nanoseconds = 0;
    int64_t Size = 0;

    bool operator==(const FileStamp &) const = default;
  };

  FileStamp readStamp() const;
  void check();
  void reload();

  std::string Path;
  Handler OnChange;
  FileStamp LastStamp;
  Timer PollTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_SETTINGSWATCH_H
