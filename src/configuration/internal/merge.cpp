#include "configuration/servicefiles.h"

#include <optional>
#include <string>
#include <utility>

namespace sapphiremoor {

namespace {

bool isDeclaration(const ServiceEntry &Entry) {
  return Entry.Idempotent && Entry.Preference && Entry.DeclaredRunTime;
}

bool isDeclaration(const TeamEntry &Entry) { return Entry.Share.has_value(); }

template <typename T>
bool differ(const std::optional<T> &A, const std::optional<T> &B) {
  return A && B && *A != *B;
}

/// Returns the name of the first field that both entries set to different
/// values, or an empty text.
std::string differingField(const ServiceEntry &A, const ServiceEntry &B) {
  if (differ(A.Idempotent, B.Idempotent))
    return "idempotent";
  if (differ(A.Preference, B.Preference))
    return "weight";
  if (differ(A.DeclaredRunTime, B.DeclaredRunTime))
    return "declared_ms";
  if (differ(A.Availability, B.Availability))
    return "objectives.availability";
  if (differ(A.Latency, B.Latency))
    return "objectives.latency_ms";
  if (differ(A.LatencyShare, B.LatencyShare))
    return "objectives.latency_share";
  return {};
}

std::string differingField(const TeamEntry &A, const TeamEntry &B) {
  return differ(A.Share, B.Share) ? "share" : "";
}

template <typename T>
void take(std::optional<T> &Target, const std::optional<T> &Later) {
  if (Later)
    Target = Later;
}

void overlay(ServiceEntry &Target, const ServiceEntry &Later) {
  take(Target.Idempotent, Later.Idempotent);
  take(Target.Preference, Later.Preference);
  take(Target.DeclaredRunTime, Later.DeclaredRunTime);
  take(Target.Availability, Later.Availability);
  take(Target.Latency, Later.Latency);
  take(Target.LatencyShare, Later.LatencyShare);
  Target.Place = Later.Place;
}

void overlay(TeamEntry &Target, const TeamEntry &Later) {
  take(Target.Share, Later.Share);
  Target.Place = Later.Place;
}

/// Merges the entries of one kind ("service" or "team") over all files.
template <typename Entry> class EntryMerger {
public:
  explicit EntryMerger(std::string Kind) : Kind(std::move(Kind)) {}

  /// Adds the entries of the next file.
  void add(const std::map<std::string, Entry> &Entries) {
    for (const auto &[Name, Fields] : Entries) {
      if (isDeclaration(Fields))
        declare(Name, Fields);
      overlay(Merged[Name], Fields);
    }
  }

  const std::map<std::string, Entry> &merged() const { return Merged; }
  const std::optional<Error> &failure() const { return Failure; }

private:
  void declare(const std::string &Name, const Entry &Fields) {
    const Entry *&InForce = Declared[Name];
    const std::string Field = InForce == nullptr || Fields.Override
                                  ? std::string()
                                  : differingField(*InForce, Fields);
    if (!Field.empty() && !Failure)
      Failure = Error{ErrorKind::Contradiction,
                      Fields.Place + ": " + Kind + " \"" + Name + "\" sets \"" +
                          Field + "\" to another value than " + InForce->Place +
                          " does",
                      "make the two equal, or add \"override\": true to the "
                      "later one"};
    InForce = &Fields;
  }

  std::string Kind;
  std::map<std::string, Entry> Merged;
  std::map<std::string, const Entry *> Declared;
  std::optional<Error> Failure;
};

Result<ServiceSettings> completeService(const std::string &Name,
                                        const ServiceEntry &Entry) {
  const auto Missing = [&](const std::string &Field) {
    return Error{ErrorKind::MissingKey,
                 Entry.Place + ": service \"" + Name + "\" has no \"" + Field +
                     "\" in any file",
                 "add \"" + Field + "\" to the service"};
  };
  if (!Entry.Idempotent)
    return Missing("idempotent");
  if (!Entry.Preference)
    return Missing("weight");
  if (!Entry.DeclaredRunTime)
    return Missing("declared_ms");
  const Objectives Defaults;
  return ServiceSettings{*Entry.Idempotent,
                         *Entry.Preference,
                         *Entry.DeclaredRunTime,
                         {Entry.Availability.value_or(Defaults.Availability),
                          Entry.Latency.value_or(Defaults.Latency),
                          Entry.LatencyShare.value_or(Defaults.LatencyShare)}};
}

} // namespace

Result<ServiceConfig> mergeServiceFiles(const ServiceFiles &Files) {
  EntryMerger<ServiceEntry> Services("service");
  EntryMerger<TeamEntry> Teams("team");
  for (const auto &[Name, File] : Files) {
    Services.add(File->Services);
    Teams.add(File->Teams);
  }
  if (Services.failure())
    return *Services.failure();
  if (Teams.failure())
    return *Teams.failure();
  if (Services.merged().empty())
    return Error{ErrorKind::NoService,
                 "the configuration files leave no service",
                 "keep or add a file that declares a service"};
  ServiceConfig Config;
  for (const auto &[Name, Entry] : Services.merged()) {
    Result<ServiceSettings> Service = completeService(Name, Entry);
    if (isError(Service))
      return errorOf(Service);
    Config.Services[Name] = takeValue(std::move(Service));
  }
  for (const auto &[Name, Entry] : Teams.merged())
    Config.Teams[Name] = TeamSettings{Entry.Share.value_or(1)};
  return Config;
}

} // namespace sapphiremoor
