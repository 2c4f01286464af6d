#include "servicelevel/internal/numbers.h"

#include <cstdio>

namespace sapphiremoor {

namespace {

std::string format(const char *Pattern, double Value) {
  char Digits[64];
  std::snprintf(Digits, sizeof(Digits), Pattern, Value);
  return Digits;
}

/// Removes trailing zeros after the decimal point.
std::string trimZeros(std::string Digits) {
  if (Digits.find('.') == std::string::npos)
    return Digits;
  Digits.erase(Digits.find_last_not_of('0') + 1);
  if (Digits.back() == '.')
    Digits.pop_back();
  return Digits;
}

} // namespace

std::string formatBurn(double Burn) {
  if (Burn >= 100)
    return format("%.0f", Burn);
  return format(Burn >= 10 ? "%.1f" : "%.2f", Burn);
}

std::string formatTick(double Value) {
  return trimZeros(format("%.2f", Value));
}

std::string formatBudget(double Share) {
  return format("%.1f", Share * 100) + "%";
}

std::string formatPercent(double Share) {
  return trimZeros(format("%.3f", Share * 100)) + "%";
}

std::string formatMilliseconds(Duration Time) {
  const std::chrono::duration<double, std::milli> Milliseconds = Time;
  return trimZeros(format("%.3f", Milliseconds.count())) + " ms";
}

} // namespace sapphiremoor
