#include "claims/internal/records.h"

#include <algorithm>
#include <iterator>

namespace sapphiremoor::detail {

namespace {

// Sizes of the map nodes and strings on a 64-bit machine, rounded up.
constexpr std::size_t BytesPerRecord = 640;
constexpr std::size_t BytesPerGrant = 80;
constexpr std::size_t BytesPerRange = 64;
constexpr std::size_t BytesPerExecutor = 64;

std::size_t estimateBytes(const PrefixRecord &Record) {
  return BytesPerRecord + Record.Grants.size() * BytesPerGrant +
         Record.Voids.rangeCount() * BytesPerRange +
         Record.Executors.size() * BytesPerExecutor;
}

uint32_t findOrAddExecutor(PrefixRecord &Record, const VmId &Executor) {
  const auto ExecutorIt = std::ranges::find(Record.Executors, Executor);
  const auto Index = std::distance(Record.Executors.begin(), ExecutorIt);
  if (ExecutorIt == Record.Executors.end())
    Record.Executors.push_back(Executor);
  return static_cast<uint32_t>(Index);
}

/// Drops the oldest record of the issuer at \p IssuerIt, and the issuer's entry
/// if it was the last one.
void dropOldestRecord(
    ClaimState &State,
    std::map<VmId, std::map<uint64_t, PrefixRecord>>::iterator IssuerIt) {
  const auto OldestIt = IssuerIt->second.begin();
  State.LowWaterMarks[IssuerIt->first] = OldestIt->first + 1;
  State.RecordBytes -= estimateBytes(OldestIt->second);
  IssuerIt->second.erase(OldestIt);
  if (IssuerIt->second.empty())
    State.Records.erase(IssuerIt);
}

/// Drops all prefixes up to the newest expired one. The issuer has issued the
/// lower sequences earlier, so it has dropped them as well.
void dropExpiredRecords(ClaimState &State, const VmId &Issuer, Instant Now) {
  uint64_t NewestExpired = 0;
  for (const auto &[Sequence, Record] : State.Records[Issuer])
    if (Record.FirstSeen + State.Limits.PrefixLifetime <= Now)
      NewestExpired = Sequence;
  auto IssuerIt = State.Records.find(Issuer);
  while (IssuerIt != State.Records.end() &&
         IssuerIt->second.begin()->first <= NewestExpired) {
    dropOldestRecord(State, IssuerIt);
    IssuerIt = State.Records.find(Issuer);
  }
}

} // namespace

bool isMember(const Prefix &KeyPrefix, const VmId &Vm) {
  return std::ranges::find(KeyPrefix.Members, Vm) != KeyPrefix.Members.end();
}

std::size_t majoritySize(const Prefix &KeyPrefix) {
  return KeyPrefix.Members.size() / 2 + 1;
}

bool isTooOld(const ClaimState &State, const Prefix &KeyPrefix) {
  const auto LowWaterIt = State.LowWaterMarks.find(KeyPrefix.Issuer);
  return LowWaterIt != State.LowWaterMarks.end() &&
         KeyPrefix.Sequence < LowWaterIt->second;
}

PrefixRecord *findOrCreateRecord(ClaimState &State, const Prefix &KeyPrefix,
                                 Instant Now) {
  if (isTooOld(State, KeyPrefix))
    return nullptr;
  const auto [RecordIt, Inserted] =
      State.Records[KeyPrefix.Issuer].try_emplace(KeyPrefix.Sequence);
  PrefixRecord &Record = RecordIt->second;
  if (Inserted) {
    Record.Prefix = KeyPrefix;
    Record.FirstSeen = Now;
    State.RecordBytes += estimateBytes(Record);
  }
  return &Record;
}

const PrefixRecord *findRecord(const ClaimState &State,
                               const Prefix &KeyPrefix) {
  const auto IssuerIt = State.Records.find(KeyPrefix.Issuer);
  if (IssuerIt == State.Records.end())
    return nullptr;
  const auto RecordIt = IssuerIt->second.find(KeyPrefix.Sequence);
  return RecordIt == IssuerIt->second.end() ? nullptr : &RecordIt->second;
}

const HeldGrant *findGrant(const PrefixRecord &Record, uint64_t Number) {
  const auto GrantIt = Record.Grants.find(Number);
  return GrantIt == Record.Grants.end() ? nullptr : &GrantIt->second;
}

const VmId &grantExecutor(const PrefixRecord &Record, const HeldGrant &Grant) {
  return Record.Executors[Grant.Executor];
}

void recordGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
                 const GrantReport &Grant, ExecutionStage Stage) {
  State.RecordBytes -= estimateBytes(Record);
  Record.Grants[Number] = {Grant.Digest,
                           findOrAddExecutor(Record, Grant.Executor),
                           Grant.Provisional, Stage};
  State.RecordBytes += estimateBytes(Record);
}

void recordVoid(ClaimState &State, PrefixRecord &Record, uint64_t Number) {
  State.RecordBytes -= estimateBytes(Record);
  Record.Voids.insert(Number);
  const HeldGrant *Grant = findGrant(Record, Number);
  const bool IsIssuer = Record.Prefix.Issuer == State.Self;
  if (Grant && (IsIssuer || grantExecutor(Record, *Grant) == State.Self))
    Record.Grants.erase(Number);
  State.RecordBytes += estimateBytes(Record);
}

bool holdGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
               const GrantReport &Grant) {
  const auto GrantIt = Record.Grants.find(Number);
  HeldGrant *Held = GrantIt == Record.Grants.end() ? nullptr : &GrantIt->second;
  if (Held && grantExecutor(Record, *Held) == Grant.Executor &&
      Held->Digest == Grant.Digest) {
    Held->Provisional = Held->Provisional && Grant.Provisional;
    return true;
  }
  if (!isMember(Record.Prefix, State.Self) || Record.Sealed)
    return false;
  if (Held && (!Held->Provisional || Grant.Provisional))
    return false;
  recordGrant(State, Record, Number, Grant, ExecutionStage::NotStarted);
  return true;
}

IssuerVerdict decideGrant(ClaimState &State, const JobKey &Key,
                          const VmId &Requester, ClaimIntent Intent,
                          const BodyDigest &Digest, Instant Now) {
  if (Key.Prefix.Issuer != State.Self)
    return {GrantVerdict::NotIssuer, {}, {}};
  PrefixRecord *Record = findOrCreateRecord(State, Key.Prefix, Now);
  if (!Record)
    return {GrantVerdict::TooOld, {}, {}};
  if (Record->Voids.contains(Key.Number))
    return {GrantVerdict::Void, {}, {}};
  const HeldGrant *Held = findGrant(*Record, Key.Number);
  if (Held) {
    const VmId &Executor = grantExecutor(*Record, *Held);
    if (Intent != ClaimIntent::Refuse || Executor != Requester)
      return {GrantVerdict::Granted, Executor, Held->Digest};
  } else if (Record->Sealed) {
    return {GrantVerdict::Sealed, {}, {}};
  } else if (Intent == ClaimIntent::Find) {
    return {GrantVerdict::NotGranted, {}, {}};
  }
  if (Intent == ClaimIntent::Refuse) {
    recordVoid(State, *Record, Key.Number);
    return {GrantVerdict::Void, {}, {}};
  }
  recordGrant(State, *Record, Key.Number, {Requester, Digest, false},
              ExecutionStage::NotStarted);
  return {GrantVerdict::Granted, Requester, Digest};
}

void expireRecords(ClaimState &State, Instant Now) {
  std::vector<VmId> Issuers;
  Issuers.reserve(State.Records.size());
  for (const auto &Entry : State.Records)
    Issuers.push_back(Entry.first);
  for (const VmId &Issuer : Issuers)
    dropExpiredRecords(State, Issuer, Now);
}

void evictRecords(ClaimState &State) {
  while (State.RecordBytes > State.Limits.MaxRecordBytes) {
    const auto OldestIssuer =
        std::ranges::min_element(State.Records, {}, [](const auto &Issuer) {
          return Issuer.second.begin()->second.FirstSeen;
        });
    dropOldestRecord(State, OldestIssuer);
  }
}

} // namespace sapphiremoor::detail
