#include "cluster/settingswatch.h"

#include "cluster/clustersettingsfile.h"
#include "framework/eventlog/eventlog.h"

#include <sys/stat.h>

#include <csignal>

namespace sapphiremoor {

namespace {
constexpr Duration PollPeriod = std::chrono::seconds(1);
} // namespace

SettingsWatch::SettingsWatch(EventLoop &Loop, std::string Path,
                             Handler OnChange)
    : Path(std::move(Path)), OnChange(std::move(OnChange)),
      LastStamp(readStamp()), PollTimer(Loop, [this] { check(); }) {
  Loop.onSignal(SIGHUP, [this] { reload(); });
  PollTimer.startPeriodic(PollPeriod);
}

SettingsWatch::FileStamp SettingsWatch::readStamp() const {
  struct stat Status {};
  if (stat(Path.c_str(), &Status) != 0)
    return {};
  return {Status.st_mtim.tv_sec, Status.st_mtim.tv_nsec, Status.st_size};
}

void SettingsWatch::check() {
  if (readStamp() != LastStamp)
    reload();
}

void SettingsWatch::reload() {
  LastStamp = readStamp();
  const Result<ClusterSettings> Loaded = loadClusterSettings(Path);
  if (isError(Loaded)) {
    logEvent(events::SettingsRejected, {{"error", describe(errorOf(Loaded))}});
    return;
  }
  logEvent(events::SettingsReloaded,
           {{"seeds", std::to_string(valueOf(Loaded).Seeds.size())}});
  OnChange(valueOf(Loaded));
}

} // namespace sapphiremoor
