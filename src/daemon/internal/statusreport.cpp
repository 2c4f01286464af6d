#include "daemon/statusreport.h"

#include "replication/replica.h"

#include <nlohmann/json.hpp>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

Json vmRow(const std::string &Name, const std::string &DataCentre, bool Live,
           bool Draining, uint64_t Revision) {
  Json Row;
  Row["vm"] = Name;
  Row["data_centre"] = DataCentre;
  Row["live"] = Live;
  Row["draining"] = Draining;
  Row["revision"] = Revision;
  return Row;
}

Json vmRows(const StatusSources &Sources, Instant Now) {
  const MembershipState &State = Sources.Membership.state();
  Json Rows = Json::array();
  Rows.push_back(vmRow(State.Self.Name, State.DataCentre, true, State.Draining,
                       Sources.Config.revision()));
  for (const auto &[Name, Peer] : State.Peers)
    Rows.push_back(vmRow(Name, Peer.LastHeartbeat.DataCentre,
                         isLive(State, Name, Now), Peer.LastHeartbeat.Draining,
                         Peer.LastHeartbeat.Revision));
  return Rows;
}

Json backendRows(const BackendTable &Backends,
                 const PlacementState &Placement) {
  Json Rows = Json::array();
  for (const auto &[Id, Server] : Backends.Backends) {
    Json Row;
    Row["backend"] = Id;
    Row["worker"] = Server.LastAnnouncement.Worker;
    Row["rack"] = Server.LastAnnouncement.Rack;
    Row["services"] = Server.LastAnnouncement.Services;
    Row["slots"] = Server.LastAnnouncement.Slots;
    Row["state"] = stateName(Server);
    Row["ejected"] = ejectedServices(Placement, Id);
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

/// Returns the role, leader and voters of the replica, or null on a VM without
/// a disk.
Json replicaRow(const ReplicaState *Replica) {
  if (Replica == nullptr)
    return nullptr;
  Json Row;
  Row["role"] = roleName(Replica->Role);
  Row["term"] = Replica->Hard.Term;
  Row["leader"] = Replica->Leader ? Json(Replica->Leader->Name) : Json();
  Row["last_index"] = lastIndex(*Replica);
  Row["committed"] = Replica->Hard.CommitIndex;
  Row["voters"] = Json::array();
  for (const Voter &Member : Replica->Voters)
    Row["voters"].push_back(Member.Name);
  return Row;
}

} // namespace

std::string statusJson(const StatusSources &Sources, Instant Now) {
  Json Report;
  Report["vm"] = Sources.Membership.state().Self.Name;
  Report["data_centre"] = Sources.Membership.state().DataCentre;
  Report["dispatcher"] = Sources.Membership.dispatcher().Name;
  Report["revision"] = Sources.Config.revision();
  Report["open_requests"] = Sources.Router.openRequests();
  Report["open_jobs"] = Sources.Executor.openJobs();
  Report["queued_tasks"] = Sources.Executor.placement().QueuedTasks;
  Report["replica"] = replicaRow(Sources.Config.replica());
  Report["vms"] = vmRows(Sources, Now);
  Report["backends"] =
      backendRows(Sources.Backends, Sources.Executor.placement());
  return Report.dump() + "\n";
}

} // namespace sapphiremoor
