#include "claims/internal/records.h"

#include <algorithm>
#include <iterator>

namespace sapphiremoor::detail {

namespace {

// Sizes of the map nodes and strings on a 64-bit machine, rounded up.
constexpr std::size_t RecordCost = 640;
constexpr std::size_t GrantCost = 80;
constexpr std::size_t RangeCost = 64;
constexpr std::size_t ExecutorCost = 64;

std::size_t costOf(const PrefixRecord &Record) {
  return RecordCost + Record.Grants.size() * GrantCost +
         Record.Voids.rangeCount() * RangeCost +
         Record.Executors.size() * ExecutorCost;
}

uint32_t executorIndex(PrefixRecord &Record, const VmId &Executor) {
  const auto Found = std::ranges::find(Record.Executors, Executor);
  const auto Index = std::distance(Record.Executors.begin(), Found);
  if (Found == Record.Executors.end())
    Record.Executors.push_back(Executor);
  return static_cast<uint32_t>(Index);
}

/// Drops the oldest record of the issuer at \p Issuer and returns the position
/// of the next issuer that has records.
void dropOldest(
    ClaimState &State,
    std::map<VmId, std::map<uint64_t, PrefixRecord>>::iterator Issuer) {
  const auto Oldest = Issuer->second.begin();
  State.LowWater[Issuer->first] = Oldest->first + 1;
  State.RecordBytes -= costOf(Oldest->second);
  Issuer->second.erase(Oldest);
  if (Issuer->second.empty())
    State.Records.erase(Issuer);
}

/// Drops all prefixes up to the newest expired one: the issuer has issued the
/// lower sequences earlier, so it has dropped them as well.
void dropExpired(ClaimState &State, const VmId &Issuer, Instant Now) {
  uint64_t Newest = 0;
  for (const auto &[Sequence, Record] : State.Records[Issuer])
    if (Record.FirstSeen + State.Limits.PrefixKept <= Now)
      Newest = Sequence;
  auto Found = State.Records.find(Issuer);
  while (Found != State.Records.end() &&
         Found->second.begin()->first <= Newest) {
    dropOldest(State, Found);
    Found = State.Records.find(Issuer);
  }
}

} // namespace

bool isMember(const Prefix &Value, const VmId &Vm) {
  return std::ranges::find(Value.Members, Vm) != Value.Members.end();
}

std::size_t majorityOf(const Prefix &Value) {
  return Value.Members.size() / 2 + 1;
}

bool isTooOld(const ClaimState &State, const Prefix &Value) {
  const auto Low = State.LowWater.find(Value.Issuer);
  return Low != State.LowWater.end() && Value.Sequence < Low->second;
}

PrefixRecord *openRecord(ClaimState &State, const Prefix &Value, Instant Now) {
  if (isTooOld(State, Value))
    return nullptr;
  const auto [Position, Added] =
      State.Records[Value.Issuer].try_emplace(Value.Sequence);
  PrefixRecord &Record = Position->second;
  if (Added) {
    Record.Prefix = Value;
    Record.FirstSeen = Now;
    State.RecordBytes += costOf(Record);
  }
  return &Record;
}

const PrefixRecord *findRecord(const ClaimState &State, const Prefix &Value) {
  const auto Issuer = State.Records.find(Value.Issuer);
  if (Issuer == State.Records.end())
    return nullptr;
  const auto Record = Issuer->second.find(Value.Sequence);
  return Record == Issuer->second.end() ? nullptr : &Record->second;
}

const HeldGrant *findGrant(const PrefixRecord &Record, uint64_t Number) {
  const auto Found = Record.Grants.find(Number);
  return Found == Record.Grants.end() ? nullptr : &Found->second;
}

const VmId &executorOf(const PrefixRecord &Record, const HeldGrant &Grant) {
  return Record.Executors[Grant.Executor];
}

void putGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
              const GrantReport &Grant, ExecutionStage Stage) {
  State.RecordBytes -= costOf(Record);
  Record.Grants[Number] = {Grant.Digest, executorIndex(Record, Grant.Executor),
                           Grant.Provisional, Stage};
  State.RecordBytes += costOf(Record);
}

void putVoid(ClaimState &State, PrefixRecord &Record, uint64_t Number) {
  State.RecordBytes -= costOf(Record);
  Record.Voids.insert(Number);
  const HeldGrant *Grant = findGrant(Record, Number);
  const bool Issuer = Record.Prefix.Issuer == State.Self;
  if (Grant && (Issuer || executorOf(Record, *Grant) == State.Self))
    Record.Grants.erase(Number);
  State.RecordBytes += costOf(Record);
}

bool holdGrant(ClaimState &State, PrefixRecord &Record, uint64_t Number,
               const GrantReport &Grant) {
  const auto Position = Record.Grants.find(Number);
  HeldGrant *Held =
      Position == Record.Grants.end() ? nullptr : &Position->second;
  if (Held && executorOf(Record, *Held) == Grant.Executor &&
      Held->Digest == Grant.Digest) {
    Held->Provisional = Held->Provisional && Grant.Provisional;
    return true;
  }
  if (!isMember(Record.Prefix, State.Self) || Record.Sealed)
    return false;
  if (Held && (!Held->Provisional || Grant.Provisional))
    return false;
  putGrant(State, Record, Number, Grant, ExecutionStage::NotStarted);
  return true;
}

IssuerVerdict decideAtIssuer(ClaimState &State, const JobKey &Key,
                             const VmId &Asker, ClaimIntent Intent,
                             const BodyDigest &Digest, Instant Now) {
  if (Key.Prefix.Issuer != State.Self)
    return {GrantVerdict::NotIssuer, {}, {}};
  PrefixRecord *Record = openRecord(State, Key.Prefix, Now);
  if (!Record)
    return {GrantVerdict::TooOld, {}, {}};
  if (Record->Voids.contains(Key.Number))
    return {GrantVerdict::Void, {}, {}};
  const HeldGrant *Held = findGrant(*Record, Key.Number);
  if (Held) {
    const VmId &Executor = executorOf(*Record, *Held);
    if (Intent != ClaimIntent::Refuse || Executor != Asker)
      return {GrantVerdict::Granted, Executor, Held->Digest};
  } else if (Record->Sealed) {
    return {GrantVerdict::Sealed, {}, {}};
  } else if (Intent == ClaimIntent::Find) {
    return {GrantVerdict::NotGranted, {}, {}};
  }
  if (Intent == ClaimIntent::Refuse) {
    putVoid(State, *Record, Key.Number);
    return {GrantVerdict::Void, {}, {}};
  }
  putGrant(State, *Record, Key.Number, {Asker, Digest, false},
           ExecutionStage::NotStarted);
  return {GrantVerdict::Granted, Asker, Digest};
}

void expireRecords(ClaimState &State, Instant Now) {
  std::vector<VmId> Issuers;
  Issuers.reserve(State.Records.size());
  for (const auto &Entry : State.Records)
    Issuers.push_back(Entry.first);
  for (const VmId &Issuer : Issuers)
    dropExpired(State, Issuer, Now);
}

void limitRecords(ClaimState &State) {
  while (State.RecordBytes > State.Limits.RecordBytes) {
    const auto Oldest =
        std::ranges::min_element(State.Records, {}, [](const auto &Issuer) {
          return Issuer.second.begin()->second.FirstSeen;
        });
    dropOldest(State, Oldest);
  }
}

} // namespace sapphiremoor::detail
