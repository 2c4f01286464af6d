#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_COUNTER_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_COUNTER_H

#include <cstdint>

namespace sapphiremoor {

/// A number of events since the start of the process.
class Counter {
public:
  void add(uint64_t Events = 1) { Total += Events; }
  uint64_t value() const { return Total; }

private:
  uint64_t Total = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_COUNTER_H
