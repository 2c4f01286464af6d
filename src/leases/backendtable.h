#ifndef SAPPHIREMOOR_LEASES_BACKENDTABLE_H
#define SAPPHIREMOOR_LEASES_BACKENDTABLE_H

#include "framework/core/result.h"
#include "framework/core/time.h"
#include "leases/types/announceresult.h"
#include "leases/types/backend.h"
#include "leases/types/backendchange.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphiremoor {

/// The backend servers of one data centre. The dispatcher's copy is renewed by
/// announcements; the copies of the other VMs follow by applyChange().
struct BackendTable {
  std::unordered_map<std::string, Backend> Backends;
  /// Servers that an operator drained; kept while they are absent, so that a
  /// drained server that restarts gets no work.
  std::set<std::string> Drained;
};

/// Returns how long each of \p Count backend servers waits between its
/// announcements: all together send at most 3,000 bytes/s.
Duration announcementInterval(std::size_t Count);

/// Returns the length of the lease that belongs to \p Interval.
Duration leaseLength(Duration Interval);

/// Takes an announcement: the server joins, or its lease starts anew.
AnnounceResult announce(BackendTable &Table, const Announcement &Message,
                        Instant Now);

/// The server gets no new work from now on. Until a hold has passed, further
/// announcements from the same address are refused. Returns the change, or
/// nothing if the server is not known or is leaving already.
std::optional<BackendChange> leave(BackendTable &Table, const std::string &Id,
                                   Instant Now);

/// Stops new work for a server by an operator's command, until undrain(), also
/// over announcements and restarts. NotFound if the server is not known.
Result<BackendChange> drain(BackendTable &Table, const std::string &Id);

/// Ends a drain. NotFound if the server is neither known nor drained.
Result<BackendChange> undrain(BackendTable &Table, const std::string &Id);

/// An answer of the server on the data path extends its lease.
void recordContact(BackendTable &Table, const std::string &Id, Instant Now);

/// A connect to the server failed, which ends its lease. Returns the change,
/// or nothing if the server is not known or is leaving.
std::optional<BackendChange> connectFailed(BackendTable &Table,
                                           const std::string &Id, Instant Now);

/// Removes the servers whose lease or hold is over, in the order of their
/// identifiers. Only the dispatcher calls this: the other VMs hear of changes,
/// not of renewals.
std::vector<BackendChange> expire(BackendTable &Table, Instant Now);

/// Applies a change told by the dispatcher. A server that is told of has one
/// lease of grace.
void applyChange(BackendTable &Table, const BackendChange &Change, Instant Now);

/// Gives each known server one lease of grace, because a VM that becomes the
/// dispatcher has heard of no renewals.
void takeOver(BackendTable &Table, Instant Now);

/// Returns the changes that bring an empty table to the state of \p Table, for
/// a VM that joins, in the order of the identifiers.
std::vector<BackendChange> snapshot(const BackendTable &Table);

/// Returns the server with \p Id, or null if it is not known.
const Backend *find(const BackendTable &Table, const std::string &Id);

/// Returns whether new tasks may be sent to the server.
bool acceptsTasks(const BackendTable &Table, const std::string &Id);

/// Returns the name of the server's state, for status reports.
const std::string &stateName(const Backend &Server);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_BACKENDTABLE_H
