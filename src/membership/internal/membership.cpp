#include "membership/membership.h"

#include "framework/codec/crypto.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace sapphiremoor {

namespace {

/// Smallest gain for which a job leaves its data centre. A remote wait is up to
/// a second old, so smaller differences are noise.
constexpr Duration OverflowMargin = std::chrono::milliseconds(20);

/// Latency to a data centre for which none is configured.
constexpr Duration DefaultHop = std::chrono::milliseconds(1);

Duration hopTime(const Hops &HopTimes, const std::string &DataCentre) {
  const auto It = HopTimes.find(DataCentre);
  return It == HopTimes.end() ? DefaultHop : It->second;
}

struct Candidate {
  VmId Id;
  bool Draining = false;
};

std::vector<Candidate> listCandidates(const MembershipState &State,
                                      const std::string &DataCentre,
                                      Instant Now) {
  std::vector<Candidate> Candidates;
  if (DataCentre == State.DataCentre)
    Candidates.push_back({State.Self, State.Draining});
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.LastHeartbeat.DataCentre == DataCentre && isLive(State, Name, Now))
      Candidates.push_back({Peer.LinkedId, Peer.LastHeartbeat.Draining});
  return Candidates;
}

Digest rendezvousRank(const VmId &Id, const std::string &DataCentre,
                      uint32_t Group) {
  return sha256(Id.Name + "/" + DataCentre + "/" + std::to_string(Group));
}

} // namespace

void linkUp(MembershipState &State, const VmId &Peer) {
  PeerStatus &Status = State.Peers[Peer.Name];
  if (Status.LinkedId != Peer)
    Status.LastHeartbeat = {};
  Status.LinkedId = Peer;
  Status.Reachable = true;
}

void linkDown(MembershipState &State, const VmId &Peer) {
  PeerStatus &Status = State.Peers[Peer.Name];
  if (Status.LinkedId == Peer)
    Status.Reachable = false;
}

void receiveHeartbeat(MembershipState &State, const Heartbeat &Message,
                      Instant Now) {
  PeerStatus &Status = State.Peers[Message.Sender.Name];
  if (!Status.Reachable || Status.LinkedId != Message.Sender)
    return;
  Status.LastHeartbeat = Message;
  Status.HeardAt = Now;
}

Heartbeat makeHeartbeat(const MembershipState &State, uint64_t Revision,
                        std::vector<ServiceLoad> Loads, Instant Now) {
  Heartbeat Message{State.Self, State.DataCentre, State.Draining, Revision,
                    {},         std::move(Loads)};
  for (const auto &[Name, Peer] : State.Peers)
    if (Peer.Reachable || Now - Peer.HeardAt <= State.SilenceLimit)
      Message.HeardPeers.push_back(Name);
  return Message;
}

bool isLive(const MembershipState &State, const std::string &Name,
            Instant Now) {
  const auto It = State.Peers.find(Name);
  if (It == State.Peers.end() || !It->second.Reachable)
    return false;
  const PeerStatus &Peer = It->second;
  return Peer.LastHeartbeat.Sender == Peer.LinkedId &&
         Now - Peer.HeardAt <= State.SilenceLimit &&
         std::ranges::find(Peer.LastHeartbeat.HeardPeers, State.Self.Name) !=
             Peer.LastHeartbeat.HeardPeers.end();
}

std::optional<VmId> selectDispatcher(const MembershipState &State,
                                     const std::string &DataCentre,
                                     uint32_t Group, Instant Now) {
  const std::vector<Candidate> Candidates =
      listCandidates(State, DataCentre, Now);
  const auto BestIt =
      std::ranges::min_element(Candidates, {}, [&](const Candidate &Member) {
        return std::pair(Member.Draining,
                         rendezvousRank(Member.Id, DataCentre, Group));
      });
  return BestIt == Candidates.end() ? std::nullopt : std::optional(BestIt->Id);
}

std::vector<VmId> grantMembers(const MembershipState &State,
                               const Hops &HopTimes, Instant Now) {
  std::vector<std::pair<Duration, VmId>> MembersByHop;
  for (const auto &[Name, Peer] : State.Peers) {
    if (!isLive(State, Name, Now) || Peer.LastHeartbeat.Draining)
      continue;
    const bool Local = Peer.LastHeartbeat.DataCentre == State.DataCentre;
    MembersByHop.emplace_back(
        Local ? Duration::zero()
              : hopTime(HopTimes, Peer.LastHeartbeat.DataCentre),
        Peer.LinkedId);
  }
  std::ranges::sort(MembersByHop);
  std::vector<VmId> Members;
  std::ranges::copy(MembersByHop | std::views::values,
                    std::back_inserter(Members));
  return Members;
}

std::string chooseDataCentre(const MembershipState &State, const Hops &HopTimes,
                             const std::string &Service,
                             std::optional<Duration> LocalWait, Instant Now) {
  std::string Best = State.DataCentre;
  Duration BestWait =
      LocalWait.has_value() ? *LocalWait - OverflowMargin : Duration::max();
  for (const auto &[Name, Peer] : State.Peers) {
    if (Peer.LastHeartbeat.DataCentre == State.DataCentre ||
        Peer.LastHeartbeat.Draining || !isLive(State, Name, Now))
      continue;
    for (const ServiceLoad &Load : Peer.LastHeartbeat.Loads) {
      const Duration Wait =
          Duration(Load.WaitMicros) +
          2 * hopTime(HopTimes, Peer.LastHeartbeat.DataCentre);
      if (Load.Service != Service || Wait >= BestWait)
        continue;
      Best = Peer.LastHeartbeat.DataCentre;
      BestWait = Wait;
    }
  }
  return Best;
}

} // namespace sapphiremoor
