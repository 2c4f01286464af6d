#include "cluster/pendingconfirmations.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// Returns the process that gets the confirmation, or null if it is for a
/// backend server.
const VmId *receiver(const Confirmation &Pending) {
  if (const auto *End = std::get_if<ReportedEnd>(&Pending))
    return &End->Reporter;
  if (const auto *Cancel = std::get_if<CancelRequest>(&Pending))
    return &Cancel->Source.Process;
  return nullptr;
}

} // namespace

void PendingConfirmations::add(const std::string &Job, uint64_t Version,
                               const Confirmation &Pending) {
  const auto [Begin, End] = Entries.equal_range(Job);
  const bool Waits = std::any_of(Begin, End, [&Pending](const auto &Other) {
    return Other.second.Pending == Pending;
  });
  if (!Waits)
    Entries.emplace(Job, Entry{Version, Pending});
}

std::vector<Confirmation>
PendingConfirmations::takeDurable(const std::string &Job, uint64_t Version) {
  std::vector<Confirmation> Durable;
  const auto [Begin, End] = Entries.equal_range(Job);
  for (auto It = Begin; It != End;) {
    if (It->second.Version > Version) {
      ++It;
      continue;
    }
    Durable.push_back(std::move(It->second.Pending));
    It = Entries.erase(It);
  }
  return Durable;
}

std::vector<RunEnded> PendingConfirmations::drop(const std::string &Job) {
  std::vector<RunEnded> Ends;
  const auto [Begin, End] = Entries.equal_range(Job);
  for (auto It = Begin; It != End; ++It)
    if (const auto *Local = std::get_if<LocalEnd>(&It->second.Pending))
      Ends.push_back(Local->Report);
  Entries.erase(Begin, End);
  return Ends;
}

void PendingConfirmations::dropReceiver(const VmId &Process) {
  std::erase_if(Entries, [&Process](const auto &Other) {
    const VmId *Receiver = receiver(Other.second.Pending);
    return Receiver != nullptr && *Receiver == Process;
  });
}

void PendingConfirmations::expire(Instant Now) {
  std::erase_if(Entries, [Now](const auto &Other) {
    const auto *Cancel = std::get_if<CancelRequest>(&Other.second.Pending);
    return Cancel != nullptr && Now >= Cancel->Expiry;
  });
}

} // namespace sapphiremoor
