#ifndef SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_PEERLINK_H
#define SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_PEERLINK_H

#include "framework/codec/frame.h"
#include "framework/core/result.h"
#include "framework/core/time.h"
#include "framework/core/types/vmid.h"
#include "framework/net/internal/handshake.h"

#include <functional>
#include <string>
#include <string_view>

struct bufferevent;

namespace sapphiremoor::detail {

/// One authenticated TCP connection between two VMs. Both sides may send
/// messages once it is open.
class PeerLink {
public:
  enum class LinkRole { Dialled, Accepted };

  struct Callbacks {
    std::function<void(PeerLink &)> OnOpened;
    std::function<void(PeerLink &, std::string_view)> OnMessage;
    /// Called when the link has become unusable. The owner must destroy the
    /// link, but not in this callback.
    std::function<void(PeerLink &, const Error &)> OnClosed;
  };

  /// Takes ownership of \p Connection.
  PeerLink(LinkRole Role, bufferevent *Connection, const VmId &Self,
           const std::string &ClusterKey, Callbacks LinkCallbacks);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Sends one message. Returns false if the link is not open.
  bool send(std::string_view Payload);

  /// Makes the link unusable without calling OnClosed. No further message is
  /// delivered, even if more have been received already.
  void disable();

  bool open() const { return Open; }
  /// The VM at the other end. Valid once the link is open.
  const VmId &remote() const { return Remote; }
  LinkRole role() const { return Role; }
  bufferevent *connection() const { return Connection; }
  /// Returns the number of unsent bytes.
  std::size_t pendingBytes() const;
  /// Time of opening or of the last received message. Set by the owner.
  Instant LastActivity;

private:
  static void onReadable(bufferevent *Connection, void *Self);
  static void onEvent(bufferevent *Connection, short Events, void *Self);
  void sendGreeting(FrameType Type, const std::string &Secret);
  void readFrames();
  Result<Done> handleFrame(const Frame &Received);
  Result<Done> acceptHello(const Greeting &Hello);
  Result<Done> acceptWelcome(const Greeting &Welcome);
  void close(const Error &Reason);

  LinkRole Role;
  bufferevent *Connection;
  VmId Self;
  std::string ClusterKey;
  Callbacks LinkCallbacks;
  Greeting OwnGreeting;
  VmId Remote;
  bool Open = false;
  bool Closed = false;
  std::string ReceiveSecret;
  std::string SendSecret;
  uint64_t ReceiveSequence = 0;
  uint64_t SendSequence = 0;
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_NET_INTERNAL_PEERLINK_H
