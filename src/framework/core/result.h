#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_RESULT_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_RESULT_H

#include "framework/core/error.h"

#include <utility>
#include <variant>

namespace sapphiremoor {

/// Either a value or a typed error.
template <typename T> using Result = std::variant<T, Error>;

/// The value type of operations that return no value on success.
using Done = std::monostate;

/// Returns true if \p R holds an error.
template <typename T> bool isError(const Result<T> &R) {
  return std::holds_alternative<Error>(R);
}

/// Returns the error of \p R, which must hold one.
template <typename T> const Error &errorOf(const Result<T> &R) {
  return std::get<Error>(R);
}

/// Returns the value of \p R, which must hold one.
template <typename T> const T &valueOf(const Result<T> &R) {
  return std::get<T>(R);
}

/// Moves the value out of \p R, which must hold one.
template <typename T> T takeValue(Result<T> &&R) {
  return std::get<T>(std::move(R));
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_RESULT_H
