#include "jobstore/tests/jobstorenetwork.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(5);
constexpr Duration GoneAfter = std::chrono::seconds(1);
constexpr std::size_t TasksPerJob = 6;

std::size_t doneTasks(const JobProgress &Of) {
  if (Of.Steps.empty())
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count_if(Of.Steps.front(), [](const TaskProgress &Each) {
        return Each.DoneRun != 0;
      }));
}

} // namespace

JobStoreNetwork::JobStoreNetwork(std::size_t Count, uint64_t Seed) : Rng(Seed) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    Names.push_back("v" + std::to_string(Number) + ":1");
  Voters = {1, Names};
  for (const std::string &Name : Names)
    start(Name, true);
}

void JobStoreNetwork::start(const std::string &Name, bool First) {
  Vm &Of = Vms[Name];
  const uint64_t Life = ++Lives[Name];
  Of.Copy = std::make_unique<JobCopy>(
      CopyStart{Name, Of.Disk, 1 + Rng() % 1000000, First});
  Of.Writer = std::make_unique<JobWriter>(JobWriterLimits{}, Name, Life);
  Of.Copy->voters(Voters);
  Of.Writer->voters(Voters);
  Of.Writer->copies({Names.begin(), Names.end()});
  Of.GoneSince.clear();
  collect(Name);
}

void JobStoreNetwork::crash(const std::string &Name, bool Wipe) {
  Vm &Of = Vms.at(Name);
  Of.Copy.reset();
  Of.Writer.reset();
  Of.Unsynced.clear();
  Of.Running.clear();
  Of.DownSince = Now;
  if (Wipe)
    Of.Disk = {};
}

void JobStoreNetwork::restart(const std::string &Name) {
  if (down(Name))
    start(Name, false);
}

void JobStoreNetwork::submit(const std::string &At, const std::string &Id) {
  if (down(At))
    return;
  JobSubmission Job;
  Job.Id = Id;
  Job.Stored = true;
  StepRequest Only;
  Only.Count = TasksPerJob;
  Job.Steps.push_back(Only);
  Vms.at(At).Writer->create(Job, Now);
  collect(At);
}

void JobStoreNetwork::work(const std::string &At) {
  if (down(At))
    return;
  Vm &Of = Vms.at(At);
  if (Of.Running.empty() || Now >= Of.Writer->rightUntil())
    return;
  auto Chosen =
      std::next(Of.Running.begin(),
                static_cast<std::ptrdiff_t>(Rng() % Of.Running.size()));
  JobProgress &Progress = Chosen->second;
  if (Progress.Steps.empty())
    Progress.Steps.emplace_back(TasksPerJob);
  const auto Open = std::ranges::find_if(
      Progress.Steps.front(),
      [](const TaskProgress &Each) { return Each.DoneRun == 0; });
  if (Open == Progress.Steps.front().end())
    return;
  Open->DoneRun = ++Open->LastRun;
  const std::string Id = Chosen->first;
  const uint64_t Version = Of.Writer->progress(Id, Progress, Now);
  TasksAt[{At + Id, Version}] = doneTasks(Progress);
  collect(At);
}

void JobStoreNetwork::run(Duration Time) {
  const Instant Until = Now + Time;
  while (Now < Until)
    step();
}

void JobStoreNetwork::step() {
  Now += StepTime;
  while (!Messages.empty() && Messages.begin()->first <= Now) {
    const InFlight Taken = std::move(Messages.begin()->second);
    Messages.erase(Messages.begin());
    deliver(Taken);
  }
  for (const std::string &Name : Names) {
    if (down(Name))
      continue;
    if (Rng() % 3 == 0 && !DisksStall)
      sync(Name);
    Vm &Of = Vms.at(Name);
    std::set<std::string> Linked;
    std::ranges::copy_if(Names, std::inserter(Linked, Linked.end()),
                         [&](const std::string &Each) {
                           return Each == Name || reachable(Name, Each);
                         });
    Of.Writer->copies(Linked);
    considerClaims(Name);
    Of.Copy->tick(Now);
    Of.Writer->tick(Now);
    collect(Name);
  }
}

bool JobStoreNetwork::reachable(const std::string &From,
                                const std::string &To) const {
  return From == To || (!down(To) && !Vms.at(From).Cut && !Vms.at(To).Cut);
}

void JobStoreNetwork::considerClaims(const std::string &Name) {
  Vm &Of = Vms.at(Name);
  std::size_t Others = 0;
  for (const std::string &Each : Names)
    Others += Each != Name && reachable(Name, Each) ? 1U : 0U;
  if (Others * 2 < Names.size() - 1)
    return;
  std::set<std::string> Known;
  for (const auto &[Id, Each] : Of.Copy->jobs())
    Known.insert(Each.Partition);
  for (const std::string &Partition : Known) {
    const Ballot Promised = Of.Copy->promised(Partition);
    const std::string Writer =
        Promised.Proposer.empty() ? openerOf(Partition) : Promised.Proposer;
    const std::string Address = addressOfWriter(Writer);
    const bool Live = writerName(Address, Lives[Address]) == Writer &&
                      reachable(Name, Address);
    if (Of.Writer->writes(Partition) || (Live && Address != Name)) {
      Of.GoneSince.erase(Partition);
      continue;
    }
    const Instant Since =
        Of.GoneSince.try_emplace(Partition, Now).first->second;
    if (Now - Since > GoneAfter && Rng() % 20 == 0)
      Of.Writer->claim(Partition, Promised, Now);
  }
}

void JobStoreNetwork::deliver(const InFlight &Taken) {
  const bool Lost = std::uniform_real_distribution<double>(0, 1)(Rng) < Loss;
  if (down(Taken.To) || Lives[Taken.From] != Taken.Life ||
      (Taken.From != Taken.To && (Lost || !reachable(Taken.From, Taken.To))))
    return;
  Vm &Of = Vms.at(Taken.To);
  Of.Copy->received(Taken.From, Taken.Message, Now);
  Of.Writer->received(Taken.From, Taken.Message, Now);
  collect(Taken.To);
}

void JobStoreNetwork::sync(const std::string &Name) {
  Vm &Of = Vms.at(Name);
  const std::vector<AppendEntry> Written = std::exchange(Of.Unsynced, {});
  for (const AppendEntry &Each : Written)
    applyEntry(Of.Disk, Each.Entry);
  if (!Written.empty())
    Of.Copy->stored(Written.back().Number);
  collect(Name);
}

void JobStoreNetwork::collect(const std::string &Name) {
  Vm &Of = Vms.at(Name);
  const auto Post = [&](const SendToCopy &Send) {
    Messages.emplace(Now + std::chrono::milliseconds(1 + Rng() % 12),
                     InFlight{Name, Send.To, Lives[Name], Send.Message});
  };
  for (const CopyEffect &Effect : Of.Copy->takeEffects()) {
    if (const auto *Send = std::get_if<SendToCopy>(&Effect))
      Post(*Send);
    else
      Of.Unsynced.push_back(std::get<AppendEntry>(Effect));
  }
  for (const WriterEffect &Effect : Of.Writer->takeEffects()) {
    if (const auto *Send = std::get_if<SendToCopy>(&Effect))
      Post(*Send);
    else if (const auto *Stored = std::get_if<JobStored>(&Effect))
      apply(Name, *Stored);
    else if (const auto *Progress = std::get_if<ProgressStored>(&Effect))
      apply(Name, *Progress);
    else if (const auto *Lost = std::get_if<JobsLost>(&Effect))
      for (const std::string &Id : Lost->Ids)
        Of.Running.erase(Id);
  }
}

void JobStoreNetwork::apply(const std::string &Name, const JobStored &Effect) {
  const std::string &Id = Effect.Job.Id;
  const auto Known = Durable.find(Id);
  if (Known != Durable.end() && doneTasks(Effect.Progress) < Known->second)
    Violations.push_back("forgot tasks of " + Id);
  for (const std::string &Other : Names) {
    if (Other == Name)
      continue;
    const std::vector<std::string> Runs = running(Other);
    if (std::ranges::find(Runs, Id) != Runs.end())
      Violations.push_back("two writers of " + Id);
  }
  Durable.try_emplace(Id, doneTasks(Effect.Progress));
  Vm &Of = Vms.at(Name);
  TasksAt[{Name + Id, Of.Writer->version(Id)}] = doneTasks(Effect.Progress);
  Of.Running[Id] = Effect.Progress;
}

void JobStoreNetwork::apply(const std::string &Name,
                            const ProgressStored &Effect) {
  std::size_t &Known = Durable[Effect.Id];
  const auto At = TasksAt.find({Name + Effect.Id, Effect.Version});
  if (At != TasksAt.end())
    Known = std::max(Known, At->second);
}

std::vector<std::string>
JobStoreNetwork::running(const std::string &Name) const {
  std::vector<std::string> Ids;
  const Vm &Of = Vms.at(Name);
  if (down(Name) || Now >= Of.Writer->rightUntil())
    return Ids;
  std::ranges::transform(Of.Running, std::back_inserter(Ids),
                         [](const auto &Each) { return Each.first; });
  return Ids;
}

std::size_t JobStoreNetwork::durableTasks(const std::string &Id) const {
  const auto Found = Durable.find(Id);
  return Found == Durable.end() ? 0 : Found->second;
}

std::size_t JobStoreNetwork::idleJobs() const {
  std::set<std::string> Busy;
  for (const std::string &Name : Names)
    for (const std::string &Id : running(Name))
      Busy.insert(Id);
  return static_cast<std::size_t>(
      std::ranges::count_if(Durable, [&Busy](const auto &Each) {
        return !Busy.contains(Each.first);
      }));
}

} // namespace sapphiremoor
