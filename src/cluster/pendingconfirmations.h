#ifndef SAPPHIREMOOR_CLUSTER_PENDINGCONFIRMATIONS_H
#define SAPPHIREMOOR_CLUSTER_PENDINGCONFIRMATIONS_H

#include "cluster/types/confirmation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Confirmations that wait until a state of their job is durable. Its size is
/// bounded however long no majority can be reached: a confirmation that is
/// asked for repeatedly waits once, and one that nobody waits for any more is
/// dropped.
class PendingConfirmations {
public:
  /// Adds a confirmation that waits for the version \p Version of a job, unless
  /// it waits already.
  void add(const std::string &Job, uint64_t Version,
           const Confirmation &Pending);
  /// Removes and returns what waits for the versions of the job up to \p
  /// Version.
  std::vector<Confirmation> takeDurable(const std::string &Job,
                                        uint64_t Version);
  /// Removes all that waits for the job. Returns the ends of runs on backend
  /// servers of this VM among it, which have to be stored elsewhere.
  std::vector<RunEnded> drop(const std::string &Job);
  /// Drops what would be sent to a process that has ended or become
  /// unreachable.
  void dropReceiver(const VmId &Process);
  /// Drops the cancels that have expired.
  void expire(Instant Now);

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    uint64_t Version = 0;
    Confirmation Pending;
  };

  /// By job.
  std::multimap<std::string, Entry> Entries;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_PENDINGCONFIRMATIONS_H
