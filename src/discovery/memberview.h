#ifndef SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H
#define SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H

#include "discovery/types/memberinfo.h"
#include "framework/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Time limits of the member view.
struct MemberLimits {
  /// A VM that was heard within this time is live.
  Duration LiveTimeout = std::chrono::milliseconds(700);
  /// A VM that nobody has heard for this time is forgotten.
  Duration RetentionTime = std::chrono::seconds(60);
};

/// One VM's view of the others. It combines what they announce themselves with
/// what third VMs report about them. A VM that some third VM still hears is not
/// dead but only unreachable, and nobody takes over its work.
class MemberView {
public:
  explicit MemberView(const MemberLimits &Limits) : Limits(Limits) {}

  /// Records \p Info, received from the VM itself.
  void recordContact(const MemberInfo &Info, Instant Now);
  /// Records that a third VM has heard a VM.
  void recordSighting(const MemberSighting &Sighting, Instant Now);
  /// Records that the link to the VM is down.
  void recordDisconnect(const std::string &Name);
  /// Forgets VMs that nobody has heard for RetentionTime.
  void expire(Instant Now);

  /// Returns true if this VM heard \p Name directly within LiveTimeout.
  bool isReachable(const std::string &Name, Instant Now) const;
  /// Returns true if this VM or a third one heard \p Name within LiveTimeout.
  bool isLive(const std::string &Name, Instant Now) const;
  /// Returns true if \p Process is the process of its VM that was heard last,
  /// and if this VM or a third one heard it within LiveTimeout.
  bool isLive(const VmId &Process, Instant Now) const;
  /// Returns the time since any VM heard \p Name, or nothing if it is unknown.
  std::optional<Duration> silenceDuration(const std::string &Name,
                                          Instant Now) const;
  /// Returns what is known of a process, or null if it is unknown or another
  /// process of its VM was heard last.
  const MemberInfo *find(const VmId &Process) const;
  /// Returns the VM at this address that was heard last. The address is written
  /// "address:port".
  const MemberInfo *findByAddress(const std::string &Address) const;

  /// Returns all known VMs with \p Role, ordered by name.
  std::vector<MemberInfo> members(MemberRole Role) const;
  /// Returns the control VMs that this VM heard directly, to be reported to
  /// other VMs.
  std::vector<MemberSighting> controlSightings(Instant Now) const;

private:
  struct Member {
    MemberInfo Info;
    /// Time of the last direct message over the current link.
    std::optional<Instant> LastDirectContact;
    /// Time at which any VM heard it last.
    Instant LastContact;
  };

  MemberLimits Limits;
  std::map<std::string, Member> Members;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H
