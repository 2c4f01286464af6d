#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_GAUGE_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_GAUGE_H

namespace sapphiremoor {

/// A value that can go up and down.
class Gauge {
public:
  void set(double Value) { Current = Value; }
  void add(double Difference) { Current += Difference; }
  double value() const { return Current; }

private:
  double Current = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_GAUGE_H
