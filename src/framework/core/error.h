#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_ERROR_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_ERROR_H

#include <compare>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Kinds of errors that callers, operators and other VMs can distinguish.
enum class ErrorKind {
  BadRequest,
  BadJson,
  UnknownSetting,
  Contradiction,
  NoService,
  OutOfRange,
  MissingKey,
  BadKey,
  Conflict,
  TooLarge,
  UnknownService,
  Unauthorized,
  Forbidden,
  Impossible,
  Overloaded,
  NotFound,
  Draining,
  Unreachable,
  Timeout,
  BadFrame,
  CorruptData,
  StorageFailure,
  NotLeader,
  Internal,
};

/// Returns the name of \p Kind as used in responses, for example "bad_json".
std::string_view errorKindName(ErrorKind Kind);

/// Returns the kind with the name \p Name, or Internal if there is none.
ErrorKind parseErrorKind(std::string_view Name);

/// An error with its kind. The remedy says what the reader can do about it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  std::string Remedy;

  auto operator<=>(const Error &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Kind, Message, Remedy);
  }
};

/// Returns "kind: message (remedy)", for terminals and logs.
std::string describe(const Error &Err);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_ERROR_H
