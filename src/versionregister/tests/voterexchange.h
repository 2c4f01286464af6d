#ifndef SAPPHIREMOOR_VERSIONREGISTER_TESTS_VOTEREXCHANGE_H
#define SAPPHIREMOOR_VERSIONREGISTER_TESTS_VOTEREXCHANGE_H

#include "versionregister/tests/registernetwork.h"
#include "versionregister/voterwatch.h"

#include <map>
#include <set>
#include <string>

namespace sapphiremoor {

/// Simulates control VMs that are added, removed and restarted, and that decide
/// themselves when the voters are exchanged. A VM knows of another one only
/// what it has heard since its own start.
class VoterExchange {
public:
  VoterExchange(std::size_t Voters, uint64_t Seed);

  /// Lets \p Time pass.
  void run(Duration Time);
  /// Starts a VM with an empty disk that is not a voter.
  void add(const std::string &Name);
  /// Ends the process of a VM; with \p WipeDisk its disk is lost too.
  void stop(const std::string &Name, bool WipeDisk = false);
  void restart(const std::string &Name);
  /// Cuts all links of a VM, or restores them.
  void setCut(const std::string &Name, bool IsCut);
  /// Announces that a VM is about to stop.
  void drain(const std::string &Name) { Draining.insert(Name); }

  ControlVmSightings sightings(const std::string &Self) const;
  /// Stores \p Document at \p Name. Returns true if it was decided in time.
  bool put(const std::string &Name, const VersionedDocument &Document);
  /// Returns the document that \p Name reads, or nothing.
  std::optional<VersionedDocument> read(const std::string &Name);

  RegisterNetwork Network;

private:
  /// Reads the newest value at a VM that knows none.
  void readAtStart(const std::string &Name);
  void checkVoters();
  bool hears(const std::string &Self, const std::string &Name) const;

  VoterWatchLimits Limits;
  std::map<std::string, Instant> StartedAt;
  /// Time at which the others heard a VM last.
  std::map<std::string, Instant> LastHeard;
  std::set<std::string> Draining;
  std::set<std::string> Cut;
  std::map<std::string, uint64_t> StartupReads;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TESTS_VOTEREXCHANGE_H
