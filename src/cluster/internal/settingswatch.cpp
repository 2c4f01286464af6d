#include "cluster/settingswatch.h"

#include "cluster/clustersettingsfile.h"
#include "framework/eventlog/eventlog.h"

#include <sys/stat.h>

#include <csignal>

namespace sapphiremoor {

namespace {
constexpr Duration PollPeriod = std::chrono::seconds(1);
} // namespace

SettingsWatch::SettingsWatch(EventLoop &Loop, std::string Path, Handler Changed)
    : File(std::move(Path)), OnChange(std::move(Changed)), Seen(stamp()),
      Poll(Loop, [this] { check(); }) {
  Loop.onSignal(SIGHUP, [this] { reload(); });
  Poll.startPeriodic(PollPeriod);
}

SettingsWatch::Stamp SettingsWatch::stamp() const {
  struct stat Status {};
  if (stat(File.c_str(), &Status) != 0)
    return {};
  return {Status.st_mtim.tv_sec, Status.st_mtim.tv_nsec, Status.st_size};
}

void SettingsWatch::check() {
  if (stamp() != Seen)
    reload();
}

void SettingsWatch::reload() {
  Seen = stamp();
  const Result<ClusterSettings> Read = loadClusterSettings(File);
  if (isError(Read)) {
    logEvent(events::SettingsRejected, {{"error", describe(errorOf(Read))}});
    return;
  }
  logEvent(events::SettingsReloaded,
           {{"seeds", std::to_string(valueOf(Read).Seeds.size())}});
  OnChange(valueOf(Read));
}

} // namespace sapphiremoor
