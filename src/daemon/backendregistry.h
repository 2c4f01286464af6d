#ifndef SAPPHIREMOOR_DAEMON_BACKENDREGISTRY_H
#define SAPPHIREMOOR_DAEMON_BACKENDREGISTRY_H

#include "daemon/membershipservice.h"
#include "daemon/peerbus.h"
#include "framework/net/timer.h"
#include "leases/backendtable.h"

#include <functional>
#include <optional>
#include <string>

namespace sapphiremoor {

/// Tracks the backend servers of this data centre. The dispatcher receives
/// their announcements and sends the changes to the other VMs of the data
/// centre.
class BackendRegistry {
public:
  BackendRegistry(EventLoop &Loop, const Settings &VmSettings, PeerBus &Bus,
                  MembershipService &Membership);

  /// Calls \p Handler with the id of each backend server whose state changes.
  void start(std::function<void(const std::string &)> Handler);

  /// Handles an announcement that a backend server sent to this VM. Returns the
  /// time until its next announcement is due.
  Duration handleAnnouncement(const Announcement &Message);
  /// Returns the endpoint for the next announcement of a backend server: that
  /// of the dispatcher if it is known, otherwise that of this VM.
  Endpoint announcementEndpoint() const;
  void handleLeave(const std::string &Id);
  Result<Done> drain(const std::string &Id, bool Undo);

  /// Records that the backend server answered.
  void noteContact(const std::string &Id);
  /// Records that a connection to the backend server failed.
  void noteConnectFailure(const std::string &Id);

  const BackendTable &table() const { return Table; }

private:
  void publishChange(const std::optional<BackendChange> &Change);
  void applyCommand(const BackendCommand &Command);
  void sendToDispatcher(const PeerMessage &Message);

  EventLoop &Loop;
  const Settings &VmSettings;
  PeerBus &Bus;
  MembershipService &Membership;
  BackendTable Table;
  std::function<void(const std::string &)> OnChange;
  Timer ExpiryTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_BACKENDREGISTRY_H
