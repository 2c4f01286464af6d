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

/// Knows the backend servers of this data centre. The dispatcher hears their
/// announcements and tells its neighbours what changed.
class BackendRegistry {
public:
  BackendRegistry(EventLoop &Loop, const Settings &VmSettings, PeerBus &Bus,
                  MembershipService &Membership);

  /// \p Handler is called with the id of each server whose standing changed.
  void start(std::function<void(const std::string &)> Handler);

  /// Takes an announcement from the server itself. Returns the time until the
  /// next one.
  Duration handleAnnouncement(const Announcement &Message);
  /// Where the server shall announce itself next.
  Endpoint announcementEndpoint() const;
  void handleLeave(const std::string &Id);
  Result<Done> drain(const std::string &Id, bool Undo);

  /// An answer arrived from the server.
  void noteContact(const std::string &Id);
  /// A connect to the server failed.
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
