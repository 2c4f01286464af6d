#ifndef SAPPHIREMOOR_DISPATCH_INTERNAL_ENDLEDGER_H
#define SAPPHIREMOOR_DISPATCH_INTERNAL_ENDLEDGER_H

#include "dispatch/types/control.h"
#include "framework/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace sapphiremoor::detail {

/// The ends of runs that one incarnation of a backend server has listed.
/// Decides up to which number they may be acknowledged: an end is held until
/// its result is durable, because the backend server forgets it once it is
/// acknowledged.
///
/// Kept while the backend server changes owners, so that a result that becomes
/// durable later still counts.
class EndLedger {
public:
  /// Records a listed end. Returns true if it was not listed before.
  bool recordListed(uint64_t EndNumber);
  /// Holds an end whose result is reported at \p Now in order to be stored.
  void hold(uint64_t EndNumber, Instant Now);
  /// Returns true if the end is held and was last reported before \p Deadline.
  bool wasReportedBefore(uint64_t EndNumber, Instant Deadline) const;
  /// Releases an end whose result is durable.
  void release(uint64_t EndNumber);
  /// Marks a held end that must not count because the task had been started
  /// again.
  void markSuperseded(uint64_t EndNumber);
  void releaseSuperseded();
  /// Releases the ends that the backend server has forgotten because another
  /// owner has acknowledged them: those below all that \p List names.
  void releaseForgotten(const RunList &List);

  bool holdsAny() const { return !Held.empty(); }
  bool holdsSuperseded() const { return SupersededCount > 0; }
  /// Returns the highest end number that may be acknowledged.
  uint64_t acknowledgeableUpTo() const {
    return Held.empty() ? LastListed : Held.begin()->first - 1;
  }

private:
  struct HeldEnd {
    Instant ReportedAt;
    bool Superseded = false;
  };
  using HeldMap = std::map<uint64_t, HeldEnd>;

  void erase(HeldMap::iterator It);

  /// All ends up to this number have been processed.
  uint64_t LastListed = 0;
  HeldMap Held;
  std::size_t SupersededCount = 0;
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_DISPATCH_INTERNAL_ENDLEDGER_H
