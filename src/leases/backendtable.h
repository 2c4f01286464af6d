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

/// Backend servers of one data centre. Announcements renew the table of the
/// dispatcher; the tables of the other VMs are updated by applyChange().
struct BackendTable {
  std::unordered_map<std::string, Backend> Backends;
  /// Servers that an operator drained. They stay listed while they are absent,
  /// so that a drained server gets no tasks after a restart.
  std::set<std::string> Drained;
};

/// Returns the interval between two announcements of a backend server when
/// there are \p Count of them. Together they send at most 3,000 bytes/s.
Duration announcementInterval(std::size_t Count);

/// Returns the lease duration for an announcement interval: 2.5 intervals.
Duration leaseLength(Duration Interval);

/// Handles an announcement: adds the server or renews its lease. A leaving
/// server is refused until its hold ends or its address or port changes.
AnnounceResult announce(BackendTable &Table, const Announcement &Message,
                        Instant Now);

/// Marks a server as leaving: it gets no new tasks. Announcements from the same
/// address are refused until a hold time has passed. Returns the change, or
/// nothing if the server is unknown or already leaving.
std::optional<BackendChange> leave(BackendTable &Table, const std::string &Id,
                                   Instant Now);

/// Stops new tasks for a server on an operator's command. The drain lasts until
/// undrain(), also across announcements and restarts of the server. Returns
/// NotFound if the server is unknown.
Result<BackendChange> drain(BackendTable &Table, const std::string &Id);

/// Ends a drain. Returns NotFound if the server is neither known nor drained.
Result<BackendChange> undrain(BackendTable &Table, const std::string &Id);

/// Extends the lease of a server that has answered a request.
void recordContact(BackendTable &Table, const std::string &Id, Instant Now);

/// Removes a server to which a connection attempt failed. Returns the change,
/// or nothing if the server is unknown or leaving.
std::optional<BackendChange> connectFailed(BackendTable &Table,
                                           const std::string &Id, Instant Now);

/// Removes the servers whose lease or hold has ended and returns the changes,
/// ordered by identifier. Only the dispatcher calls this, because the other VMs
/// receive changes but no renewals.
std::vector<BackendChange> expire(BackendTable &Table, Instant Now);

/// Applies a change received from the dispatcher. A server that joined or
/// changed gets a full lease.
void applyChange(BackendTable &Table, const BackendChange &Change, Instant Now);

/// Gives each known server a full lease. A VM calls this when it becomes the
/// dispatcher, because it has received no renewals before.
void takeOver(BackendTable &Table, Instant Now);

/// Returns the changes that bring an empty table to the state of \p Table,
/// ordered by identifier. A VM that joins applies them.
std::vector<BackendChange> snapshot(const BackendTable &Table);

/// Returns the server with the identifier \p Id, or null if it is unknown.
const Backend *find(const BackendTable &Table, const std::string &Id);

/// Returns whether new tasks may be sent to the server.
bool acceptsTasks(const BackendTable &Table, const std::string &Id);

/// Returns the state of the server as shown in status reports.
const std::string &stateName(const Backend &Server);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_LEASES_BACKENDTABLE_H
