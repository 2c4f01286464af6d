#include "membership/membership.h"

#include "framework/codec/crypto.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace sapphiremoor {

namespace {

/// Below this gain the estimate of a remote wait, a second old, is noise.
constexpr Duration OverflowMargin = std::chrono::milliseconds(20);

/// Distance of a data centre whose hop is not configured.
constexpr Duration DefaultHop = std::chrono::milliseconds(1);

Duration hopOf(const Hops &Far, const std::string &DataCentre) {
  const auto Found = Far.find(DataCentre);
  return Found == Far.end() ? DefaultHop : Found->second;
}

struct Candidate {
  VmId Id;
  bool Draining = false;
};

std::vector<Candidate> candidates(const MembershipState &State,
                                  const std::string &DataCentre, Instant Now) {
  std::vector<Candidate> Found;
  if (DataCentre == State.DataCentre)
    Found.push_back({State.Self, State.Draining});
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.Last.DataCentre == DataCentre && isLive(State, Name, Now))
      Found.push_back({Peer.LinkedAs, Peer.Last.Draining});
  return Found;
}

Digest rank(const VmId &Id, const std::string &DataCentre, uint32_t Group) {
  return sha256(Id.Name + "/" + DataCentre + "/" + std::to_string(Group));
}

} // namespace

void linkUp(MembershipState &State, const VmId &Peer) {
  PeerStatus &Status = State.Peers[Peer.Name];
  if (Status.LinkedAs != Peer)
    Status.Last = {};
  Status.LinkedAs = Peer;
  Status.Reachable = true;
}

void linkDown(MembershipState &State, const VmId &Peer) {
  PeerStatus &Status = State.Peers[Peer.Name];
  if (Status.LinkedAs == Peer)
    Status.Reachable = false;
}

void heard(MembershipState &State, const Heartbeat &Message, Instant Now) {
  PeerStatus &Status = State.Peers[Message.Sender.Name];
  if (!Status.Reachable || Status.LinkedAs != Message.Sender)
    return;
  Status.Last = Message;
  Status.HeardAt = Now;
}

Heartbeat makeHeartbeat(const MembershipState &State, uint64_t Revision,
                        std::vector<ServiceLoad> Loads, Instant Now) {
  Heartbeat Message{State.Self, State.DataCentre, State.Draining, Revision,
                    {},         std::move(Loads)};
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.Reachable || Now - Peer.HeardAt <= State.SilentLimit)
      Message.Hears.push_back(Name);
  return Message;
}

bool isLive(const MembershipState &State, const std::string &Name,
            Instant Now) {
  const auto Found = State.Peers.find(Name);
  if (Found == State.Peers.end() || !Found->second.Reachable)
    return false;
  const PeerStatus &Peer = Found->second;
  return Peer.Last.Sender == Peer.LinkedAs &&
         Now - Peer.HeardAt <= State.SilentLimit &&
         std::ranges::find(Peer.Last.Hears, State.Self.Name) !=
             Peer.Last.Hears.end();
}

std::optional<VmId> dispatcherOf(const MembershipState &State,
                                 const std::string &DataCentre, uint32_t Group,
                                 Instant Now) {
  const std::vector<Candidate> Found = candidates(State, DataCentre, Now);
  const auto First =
      std::ranges::min_element(Found, {}, [&](const Candidate &One) {
        return std::pair(One.Draining, rank(One.Id, DataCentre, Group));
      });
  return First == Found.end() ? std::nullopt : std::optional(First->Id);
}

std::vector<VmId> grantMembers(const MembershipState &State, const Hops &Far,
                               Instant Now) {
  std::vector<std::pair<Duration, VmId>> Found;
  for (const auto &[Name, Peer] : State.Peers) {
    if (!isLive(State, Name, Now) || Peer.Last.Draining)
      continue;
    const bool Local = Peer.Last.DataCentre == State.DataCentre;
    Found.emplace_back(Local ? Duration::zero()
                             : hopOf(Far, Peer.Last.DataCentre),
                       Peer.LinkedAs);
  }
  std::ranges::sort(Found);
  std::vector<VmId> Members;
  std::ranges::copy(Found | std::views::values, std::back_inserter(Members));
  return Members;
}

std::string chooseDataCentre(const MembershipState &State, const Hops &Far,
                             const std::string &Service,
                             std::optional<Duration> LocalWait, Instant Now) {
  std::string Best = State.DataCentre;
  Duration BestWait =
      LocalWait.has_value() ? *LocalWait - OverflowMargin : Duration::max();
  for (const auto &[Name, Peer] : State.Peers) {
    if (Peer.Last.DataCentre == State.DataCentre || Peer.Last.Draining ||
        !isLive(State, Name, Now))
      continue;
    for (const ServiceLoad &Load : Peer.Last.Loads) {
      const Duration Wait =
          Duration(Load.WaitMicros) + 2 * hopOf(Far, Peer.Last.DataCentre);
      if (Load.Service != Service || Wait >= BestWait)
        continue;
      Best = Peer.Last.DataCentre;
      BestWait = Wait;
    }
  }
  return Best;
}

} // namespace sapphiremoor
