#ifndef SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H
#define SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H

#include "discovery/types/memberinfo.h"
#include "framework/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Timing of the view of members.
struct MemberLimits {
  /// A VM that was heard directly within this time is live.
  Duration LiveTimeout = std::chrono::milliseconds(700);
  /// A VM that nobody has heard for this time is forgotten.
  Duration RetentionTime = std::chrono::seconds(60);
};

/// One VM's view of the others, from what they say themselves and from what
/// third VMs say of them. A VM that some third VM still hears is not dead, only
/// out of reach; nobody takes over its work.
class MemberView {
public:
  explicit MemberView(const MemberLimits &Limits) : Limits(Limits) {}

  /// \p Info was received from the VM itself.
  void recordContact(const MemberInfo &Info, Instant Now);
  /// A third VM heard it.
  void recordSighting(const MemberSighting &Sighting, Instant Now);
  /// The link to the VM is gone.
  void recordDisconnect(const std::string &Name);
  /// Forgets VMs that nobody has heard for long.
  void expire(Instant Now);

  /// Heard directly and lately.
  bool isReachable(const std::string &Name, Instant Now) const;
  /// Heard lately by this VM or a third one.
  bool isLive(const std::string &Name, Instant Now) const;
  /// Time since anybody heard it.
  std::optional<Duration> silenceDuration(const std::string &Name,
                                          Instant Now) const;
  const MemberInfo *find(const std::string &Name) const;
  /// Returns the newest VM at this address, written "address:port".
  const MemberInfo *findByAddress(const std::string &Address) const;

  /// All known VMs with \p Role, by name.
  std::vector<MemberInfo> members(MemberRole Role) const;
  /// Known control VMs that were heard directly, for telling other VMs.
  std::vector<MemberSighting> controlSightings(Instant Now) const;

private:
  struct Member {
    MemberInfo Info;
    /// Last direct message over the current link.
    std::optional<Instant> LastDirectContact;
    /// Last message to anybody.
    Instant LastContact;
  };

  MemberLimits Limits;
  std::map<std::string, Member> Members;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISCOVERY_MEMBERVIEW_H
