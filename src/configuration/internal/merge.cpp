#include "configuration/servicefiles.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor {

namespace {

bool isDeclaration(const ServiceEntry &Entry) {
  return Entry.Idempotent && Entry.Preference && Entry.DeclaredRunTime;
}

bool isDeclaration(const TeamEntry &Entry) { return Entry.Share.has_value(); }

template <typename T>
bool areDifferent(const std::optional<T> &A, const std::optional<T> &B) {
  return A && B && *A != *B;
}

/// Returns the name of the first field that both entries set to different
/// values, or an empty string.
std::string differingField(const ServiceEntry &A, const ServiceEntry &B) {
  if (areDifferent(A.Idempotent, B.Idempotent))
    return "idempotent";
  if (areDifferent(A.Preference, B.Preference))
    return "weight";
  if (areDifferent(A.DeclaredRunTime, B.DeclaredRunTime))
    return "declared_ms";
  if (areDifferent(A.Availability, B.Availability))
    return "objectives.availability";
  if (areDifferent(A.Latency, B.Latency))
    return "objectives.latency_ms";
  if (areDifferent(A.LatencyShare, B.LatencyShare))
    return "objectives.latency_share";
  return {};
}

std::string differingField(const TeamEntry &A, const TeamEntry &B) {
  return areDifferent(A.Share, B.Share) ? "share" : "";
}

template <typename T>
void assignIfSet(std::optional<T> &Target, const std::optional<T> &Later) {
  if (Later)
    Target = Later;
}

void mergeFields(ServiceEntry &Target, const ServiceEntry &Later) {
  assignIfSet(Target.Idempotent, Later.Idempotent);
  assignIfSet(Target.Preference, Later.Preference);
  assignIfSet(Target.DeclaredRunTime, Later.DeclaredRunTime);
  assignIfSet(Target.Availability, Later.Availability);
  assignIfSet(Target.Latency, Later.Latency);
  assignIfSet(Target.LatencyShare, Later.LatencyShare);
}

void mergeFields(TeamEntry &Target, const TeamEntry &Later) {
  assignIfSet(Target.Share, Later.Share);
}

/// Returns one bit for each field that \p Entry sets.
unsigned fieldMask(const ServiceEntry &Entry) {
  unsigned Bits = 0;
  for (const bool IsSet :
       {Entry.Idempotent.has_value(), Entry.Preference.has_value(),
        Entry.DeclaredRunTime.has_value(), Entry.Availability.has_value(),
        Entry.Latency.has_value(), Entry.LatencyShare.has_value()})
    Bits = Bits * 2 + (IsSet ? 1 : 0);
  return Bits;
}

unsigned fieldMask(const TeamEntry &Entry) { return Entry.Share ? 1 : 0; }

/// Intermediate result of merging one service or team.
template <typename Entry> struct MergedEntry {
  Entry Fields;
  /// The entry that was merged last.
  const Entry *LastEntry = nullptr;
  /// The declarations in force, which agree with each other. Only the first of
  /// those that set the same fields is kept, which limits their number.
  std::vector<const Entry *> Declarations;
};

/// Merges the entries of one kind ("service" or "team") over all files.
template <typename Entry> class EntryMerger {
public:
  explicit EntryMerger(std::string Kind) : Kind(std::move(Kind)) {}

  /// Adds the entries of the next file.
  void addEntries(const std::map<std::string, Entry> &Entries) {
    for (const auto &[Name, Fields] : Entries) {
      MergedEntry<Entry> &Target = MergedEntries[Name];
      if (isDeclaration(Fields))
        addDeclaration(Name, Fields, Target.Declarations);
      mergeFields(Target.Fields, Fields);
      Target.LastEntry = &Fields;
    }
  }

  const std::map<std::string, MergedEntry<Entry>> &mergedEntries() const {
    return MergedEntries;
  }
  const std::optional<Error> &failure() const { return Failure; }

private:
  void addDeclaration(const std::string &Name, const Entry &Fields,
                      std::vector<const Entry *> &Declarations) {
    if (Fields.Override)
      Declarations.clear();
    for (const Entry *Earlier : Declarations)
      checkAgreement(Name, *Earlier, Fields);
    const bool IsNew =
        std::ranges::none_of(Declarations, [&Fields](const Entry *Earlier) {
          return fieldMask(*Earlier) == fieldMask(Fields);
        });
    if (IsNew)
      Declarations.push_back(&Fields);
  }

  void checkAgreement(const std::string &Name, const Entry &Earlier,
                      const Entry &Later) {
    const std::string Field = differingField(Earlier, Later);
    if (!Field.empty() && !Failure)
      Failure = Error{ErrorKind::Contradiction,
                      Later.Location + ": " + Kind + " \"" + Name +
                          "\" sets \"" + Field + "\" to another value than " +
                          Earlier.Location + " does",
                      "make the two equal, or add \"override\": true to the "
                      "later one"};
  }

  std::string Kind;
  std::map<std::string, MergedEntry<Entry>> MergedEntries;
  std::optional<Error> Failure;
};

Result<ServiceSettings>
completeService(const std::string &Name,
                const MergedEntry<ServiceEntry> &Merged) {
  const ServiceEntry &Entry = Merged.Fields;
  const auto MakeMissingError = [&](const std::string &Field) {
    return Error{ErrorKind::MissingKey,
                 Merged.LastEntry->Location + ": service \"" + Name +
                     "\" has no \"" + Field + "\" in any file",
                 "add \"" + Field + "\" to the service"};
  };
  if (!Entry.Idempotent)
    return MakeMissingError("idempotent");
  if (!Entry.Preference)
    return MakeMissingError("weight");
  if (!Entry.DeclaredRunTime)
    return MakeMissingError("declared_ms");
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
    Services.addEntries(File->Services);
    Teams.addEntries(File->Teams);
  }
  if (Services.failure())
    return *Services.failure();
  if (Teams.failure())
    return *Teams.failure();
  if (Services.mergedEntries().empty())
    return Error{ErrorKind::NoService,
                 "the configuration files contain no service",
                 "keep or add a file that declares a service"};
  ServiceConfig Config;
  for (const auto &[Name, Entry] : Services.mergedEntries()) {
    Result<ServiceSettings> Service = completeService(Name, Entry);
    if (isError(Service))
      return errorOf(Service);
    Config.Services[Name] = takeValue(std::move(Service));
  }
  for (const auto &[Name, Entry] : Teams.mergedEntries())
    Config.Teams[Name] = TeamSettings{Entry.Fields.Share.value_or(1)};
  return Config;
}

} // namespace sapphiremoor
