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

Json vmRows(const StatusSources &Of, Instant Now) {
  const MembershipState &State = Of.Membership.state();
  Json Rows = Json::array();
  Rows.push_back(vmRow(State.Self.Name, State.DataCentre, true, State.Draining,
                       Of.Config.revision()));
  for (const auto &[Name, Peer] : State.Peers)
    Rows.push_back(vmRow(Name, Peer.Last.DataCentre, isLive(State, Name, Now),
                         Peer.Last.Draining, Peer.Last.Revision));
  return Rows;
}

Json backendRows(const BackendTable &Backends,
                 const PlacementState &Placement) {
  Json Rows = Json::array();
  for (const auto &[Id, Server] : Backends.Backends) {
    Json Row;
    Row["backend"] = Id;
    Row["worker"] = Server.Last.Worker;
    Row["rack"] = Server.Last.Rack;
    Row["services"] = Server.Last.Services;
    Row["slots"] = Server.Last.Slots;
    Row["state"] = stateName(Server);
    Row["ejected"] = ejectedServices(Placement, Id);
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

/// The replica's role, leader and voters, or null on a VM without a disk.
Json replicaRow(const ReplicaState *Replica) {
  if (Replica == nullptr)
    return nullptr;
  Json Row;
  Row["role"] = roleName(Replica->Role);
  Row["term"] = Replica->Hard.Term;
  Row["leader"] = Replica->Leader ? Json(Replica->Leader->Name) : Json();
  Row["last_index"] = lastIndex(*Replica);
  Row["committed"] = Replica->Hard.Commit;
  Row["voters"] = Json::array();
  for (const Voter &Each : Replica->Voters)
    Row["voters"].push_back(Each.Name);
  return Row;
}

} // namespace

std::string statusJson(const StatusSources &Of, Instant Now) {
  Json Report;
  Report["vm"] = Of.Membership.state().Self.Name;
  Report["data_centre"] = Of.Membership.state().DataCentre;
  Report["dispatcher"] = Of.Membership.dispatcher().Name;
  Report["revision"] = Of.Config.revision();
  Report["open_requests"] = Of.Router.open();
  Report["open_jobs"] = Of.Executor.openJobs();
  Report["queued_tasks"] = Of.Executor.placement().Queued;
  Report["replica"] = replicaRow(Of.Config.replica());
  Report["vms"] = vmRows(Of, Now);
  Report["backends"] = backendRows(Of.Backends, Of.Executor.placement());
  return Report.dump() + "\n";
}

} // namespace sapphiremoor
