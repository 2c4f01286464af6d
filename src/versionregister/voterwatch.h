#ifndef SAPPHIREMOOR_VERSIONREGISTER_VOTERWATCH_H
#define SAPPHIREMOOR_VERSIONREGISTER_VOTERWATCH_H

#include "framework/core/time.h"
#include "versionregister/types/registervalue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// What a control VM has heard of the others.
struct ControlVmSightings {
  /// Address of the VM that watches.
  std::string Self;
  /// Addresses of the control VMs that were heard recently and accept work,
  /// including Self.
  std::set<std::string> Live;
  /// Addresses of the control VMs that were heard recently and stop soon.
  std::set<std::string> Leaving;
  /// Time since any VM heard a control VM, by address. A control VM that nobody
  /// has heard since Self started is missing; its silence counts from that
  /// start.
  std::map<std::string, Duration> Silence;
  /// Time since Self started.
  Duration Uptime{};
  /// Data centres of the control VMs, by address.
  std::map<std::string, std::string> DataCentres = {};
  /// Time since the voters changed last, or since Self started.
  Duration SinceExchange{};
};

/// A voter that has not been heard for some time.
struct SilentVoter {
  std::string Address;
  /// Time since the voter was heard. If it has never been heard, the time since
  /// the watching VM started.
  Duration Silence{};
  bool EverHeard = false;

  auto operator<=>(const SilentVoter &) const = default;
};

/// Limits of proposeVoters().
struct VoterWatchLimits {
  /// A voter that has been silent for this time is replaced if a spare control
  /// VM is live. A restart ends sooner. The loss of another control VM must be
  /// survived four seconds after the start of the spare one.
  Duration GoneTimeout = std::chrono::seconds(2);
  /// Each live voter waits this much longer than the one before it, in the
  /// order of addresses, so that their proposals do not compete. Another one
  /// steps in if the first one cannot complete the exchange.
  Duration ProposerDelay = std::chrono::milliseconds(400);
  /// Number of voters that the deployment should have.
  std::size_t TargetSize = 3;
  /// Time after an exchange in which no voter is replaced while it still
  /// answers, so that the newest voter can catch up first.
  Duration SettleTime = std::chrono::seconds(3);
};

/// Returns the voters other than the watching VM that have been silent for
/// \p MinSilence or longer.
std::vector<SilentVoter> silentVoters(const VoterSet &Voters,
                                      const ControlVmSightings &Sightings,
                                      Duration MinSilence);

/// Returns the voter set that the watching VM should propose now, or nothing.
/// Replaces a voter that is silent for too long, and one that announces its
/// stop, by a spare control VM. Proposes nothing while no majority of the
/// voters is heard.
std::optional<VoterSet> proposeVoters(const VoterSet &Voters,
                                      const ControlVmSightings &Sightings,
                                      const VoterWatchLimits &Limits);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_VOTERWATCH_H
