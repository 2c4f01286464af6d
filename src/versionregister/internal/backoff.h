#ifndef SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_BACKOFF_H
#define SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_BACKOFF_H

#include "framework/core/time.h"

#include <algorithm>

namespace sapphiremoor::detail {

/// A duration that doubles after each failure in a row, up to a limit.
class Backoff {
public:
  Backoff(Duration First, Duration Longest)
      : First(First), Longest(Longest), Current(First) {}

  Duration current() const { return Current; }
  void grow() { Current = std::min(2 * Current, Longest); }
  void reset() { Current = First; }

private:
  Duration First;
  Duration Longest;
  Duration Current;
};

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_VERSIONREGISTER_INTERNAL_BACKOFF_H
