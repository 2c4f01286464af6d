#include "configuration/configstate.h"

#include "configuration/internal/boundedinput.h"
#include "configuration/internal/configcache.h"
#include "configuration/internal/configrecords.h"
#include "configuration/internal/printable.h"
#include "configuration/servicefiles.h"
#include "framework/codec/crypto.h"
#include "framework/codec/serial.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

ChangeResult makeRejection(const ConfigState &State, Error Reason) {
  return {ChangeOutcome::Rejected, 0, "", State.Revision, std::move(Reason)};
}

/// Excludes the time of the proposal, because a resend may be proposed by
/// another VM.
std::string contentDigest(const ChangeFile &Change) {
  ChangeFile Content = Change;
  Content.ProposedMs = 0;
  return std::string(digestBytes(sha256(encode(Content))));
}

std::optional<Error> checkIdentity(const ChangeFile &Change) {
  const auto IsValid = [](const std::string &Id) {
    return !Id.empty() && Id.size() <= MaxIdBytes && isPrintable(Id);
  };
  if (IsValid(Change.RequestId) && IsValid(Change.Operator))
    return std::nullopt;
  return Error{ErrorKind::BadRequest,
               "the request id and the operator's name must have 1 to " +
                   std::to_string(MaxIdBytes) +
                   " printable ASCII characters without spaces",
               "choose a new random request id for each change"};
}

/// Returns a conflict with the change that was accepted first after \p
/// ExpectedRevision. If that change is no longer in the history, the newest one
/// is used instead.
ChangeResult makeConflict(const ConfigState &State, uint64_t ExpectedRevision) {
  const auto It = std::ranges::find(State.History, ExpectedRevision + 1,
                                    &ChangeRecord::Revision);
  ChangeRecord AcceptedRecord;
  AcceptedRecord.Revision = State.Revision;
  if (It != State.History.end())
    AcceptedRecord = *It;
  else if (!State.History.empty())
    AcceptedRecord = State.History.back();
  return {ChangeOutcome::Conflict, AcceptedRecord.Revision,
          AcceptedRecord.Operator, State.Revision,
          Error{ErrorKind::Conflict,
                "revision " + std::to_string(AcceptedRecord.Revision) +
                    " by \"" + AcceptedRecord.Operator +
                    "\" was accepted first",
                "read revision " + std::to_string(State.Revision) +
                    " and submit the change again with a new request id"}};
}

std::optional<Error> checkPreconditions(const ConfigState &State,
                                        const ChangeFile &Change) {
  if (Change.ExpectedRevision > State.Revision)
    return Error{ErrorKind::BadRequest,
                 "the expected revision " +
                     std::to_string(Change.ExpectedRevision) +
                     " is higher than the revision in force, " +
                     std::to_string(State.Revision),
                 "read the revision in force and submit the change again"};
  if (!Change.Text && !State.Files.contains(Change.Name))
    return Error{ErrorKind::NotFound,
                 "there is no configuration file \"" +
                     toPrintable(Change.Name) + "\" to remove",
                 "list the files in force and correct the name"};
  return std::nullopt;
}

void acceptChange(ConfigState &State, const ChangeFile &Change,
                  ConfigCache Cache) {
  ++State.Revision;
  if (Change.Text)
    State.Files[Change.Name] = *Change.Text;
  else
    State.Files.erase(Change.Name);
  State.LastChanges[Change.Name] = {State.Revision, Change.Operator,
                                    !Change.Text};
  State.History.push_back(
      {State.Revision, Change.Name, Change.Operator, Change.RequestId,
       !Change.Text, Change.Text ? Change.Text->size() : 0, Change.ProposedMs});
  State.Cache = std::move(Cache);
  trimRecords(State);
}

ChangeResult decideChange(ConfigState &State, const ChangeFile &Change) {
  if (Change.ExpectedRevision < State.Revision)
    return makeConflict(State, Change.ExpectedRevision);
  if (const std::optional<Error> Failure = checkPreconditions(State, Change))
    return makeRejection(State, *Failure);
  Result<ConfigCache> Cache =
      buildCache(State.Cache, {{Change.Name, Change.Text}});
  if (isError(Cache))
    return makeRejection(State, errorOf(Cache));
  acceptChange(State, Change, takeValue(std::move(Cache)));
  return {ChangeOutcome::Accepted, State.Revision, Change.Operator,
          State.Revision, Error{}};
}

} // namespace

ChangeResult applyChange(ConfigState &State, const ChangeFile &Change) {
  if (const std::optional<Error> Failure = checkIdentity(Change))
    return makeRejection(State, *Failure);
  const std::string ContentDigest = contentDigest(Change);
  const auto It = std::ranges::find_if(
      State.DecidedRequests, [&](const DecidedRequest &Request) {
        return Request.Operator == Change.Operator &&
               Request.RequestId == Change.RequestId;
      });
  if (It == State.DecidedRequests.end()) {
    ChangeResult Result = decideChange(State, Change);
    State.DecidedRequests.push_back(
        {Change.Operator, Change.RequestId, ContentDigest, Result});
    trimRecords(State);
    return Result;
  }
  if (It->ContentDigest == ContentDigest)
    return It->Result;
  return makeRejection(State,
                       Error{ErrorKind::BadKey,
                             "request id \"" + Change.RequestId +
                                 "\" was already used for another change",
                             "choose a new random request id"});
}

std::string encodeState(const ConfigState &State) {
  const std::string Payload = encode(State);
  return std::string(digestBytes(sha256(Payload))) + Payload;
}

Result<ConfigState> decodeState(std::string_view Bytes) {
  const Error CorruptError{
      ErrorKind::CorruptData, "the stored configuration is damaged",
      "remove this copy and let the VM catch up from its peers"};
  const std::size_t DigestBytes = Digest{}.size();
  if (Bytes.size() < DigestBytes)
    return CorruptError;
  const std::string_view Payload = Bytes.substr(DigestBytes);
  if (digestBytes(sha256(Payload)) != Bytes.substr(0, DigestBytes))
    return CorruptError;
  ConfigState State;
  BoundedInput Input(Payload, MaxFileBytes);
  Input(State);
  if (!Input.isComplete())
    return CorruptError;
  if (State.Files.empty())
    return State;
  Result<ConfigCache> Cache =
      buildCache({}, FileUpdates(State.Files.begin(), State.Files.end()));
  if (isError(Cache))
    return Error{ErrorKind::CorruptData,
                 "the stored configuration is not valid: " +
                     describe(errorOf(Cache)),
                 CorruptError.Remedy};
  State.Cache = takeValue(std::move(Cache));
  return State;
}

} // namespace sapphiremoor
