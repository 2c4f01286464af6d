#include "framework/core/error.h"

namespace sapphiremoor {

std::string_view errorKindName(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadRequest:
    return "bad_request";
  case ErrorKind::BadJson:
    return "bad_json";
  case ErrorKind::UnknownSetting:
    return "unknown_setting";
  case ErrorKind::Contradiction:
    return "contradiction";
  case ErrorKind::NoService:
    return "no_service";
  case ErrorKind::OutOfRange:
    return "out_of_range";
  case ErrorKind::MissingKey:
    return "missing_key";
  case ErrorKind::BadKey:
    return "bad_key";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::TooLarge:
    return "too_large";
  case ErrorKind::UnknownService:
    return "unknown_service";
  case ErrorKind::Unauthorized:
    return "unauthorized";
  case ErrorKind::Forbidden:
    return "forbidden";
  case ErrorKind::Impossible:
    return "impossible";
  case ErrorKind::Overloaded:
    return "overloaded";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Draining:
    return "draining";
  case ErrorKind::Unreachable:
    return "unreachable";
  case ErrorKind::Timeout:
    return "timeout";
  case ErrorKind::BadFrame:
    return "bad_frame";
  case ErrorKind::CorruptData:
    return "corrupt_data";
  case ErrorKind::StorageFailure:
    return "storage_failure";
  case ErrorKind::NotLeader:
    return "not_leader";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

ErrorKind parseErrorKind(std::string_view Name) {
  for (int I = 0; I < static_cast<int>(ErrorKind::Internal); ++I)
    if (errorKindName(static_cast<ErrorKind>(I)) == Name)
      return static_cast<ErrorKind>(I);
  return ErrorKind::Internal;
}

std::string describe(const Error &Err) {
  std::string Text(errorKindName(Err.Kind));
  Text += ": " + Err.Message;
  if (!Err.Remedy.empty())
    Text += " (" + Err.Remedy + ")";
  return Text;
}

} // namespace sapphiremoor
