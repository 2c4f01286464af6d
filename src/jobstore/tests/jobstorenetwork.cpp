#include "jobstore/tests/jobstorenetwork.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(5);
constexpr Duration ClaimDelay = std::chrono::seconds(1);
constexpr std::size_t TasksPerJob = 6;

std::size_t countDoneTasks(const JobProgress &Progress) {
  if (Progress.Steps.empty())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      Progress.Steps.front(),
      [](const TaskProgress &Task) { return Task.DoneRun != 0; }));
}

} // namespace

JobStoreNetwork::JobStoreNetwork(std::size_t Count, uint64_t Seed,
                                 const JobWriterLimits &Limits)
    : Rng(Seed), Limits(Limits) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    Names.push_back("v" + std::to_string(Number) + ":1");
  Voters = {1, Names};
  for (const std::string &Name : Names)
    start(Name, true);
}

void JobStoreNetwork::start(const std::string &Name, bool FirstStart) {
  Vm &ThisVm = Vms[Name];
  const uint64_t Incarnation = ++Incarnations[Name];
  ThisVm.Copy = std::make_unique<JobCopy>(
      CopyOptions{Name, ThisVm.Disk, 1 + Rng() % 1000000, FirstStart});
  ThisVm.Writer = std::make_unique<JobWriter>(Limits, Name, Incarnation);
  ThisVm.Copy->setVoters(Voters);
  ThisVm.Writer->setVoters(Voters);
  ThisVm.Writer->setCopies({Names.begin(), Names.end()});
  ThisVm.UnreachableSince.clear();
  collectEffects(Name);
}

void JobStoreNetwork::crash(const std::string &Name, bool Wipe) {
  Vm &ThisVm = Vms.at(Name);
  ThisVm.Copy.reset();
  ThisVm.Writer.reset();
  ThisVm.Unsynced.clear();
  ThisVm.Running.clear();
  ThisVm.DownSince = Now;
  if (Wipe)
    ThisVm.Disk = {};
}

void JobStoreNetwork::restart(const std::string &Name) {
  if (isDown(Name))
    start(Name, false);
}

void JobStoreNetwork::submit(const std::string &Name, const std::string &Id) {
  if (isDown(Name))
    return;
  JobSubmission Job;
  Job.Id = Id;
  Job.Stored = true;
  StepRequest Step;
  Step.Count = TasksPerJob;
  Job.Steps.push_back(Step);
  Vms.at(Name).Writer->create(Job, Now);
  collectEffects(Name);
}

void JobStoreNetwork::finishTask(const std::string &Name) {
  if (isDown(Name))
    return;
  Vm &ThisVm = Vms.at(Name);
  if (ThisVm.Running.empty() || Now >= ThisVm.Writer->writerLeaseEnd())
    return;
  auto JobIt =
      std::next(ThisVm.Running.begin(),
                static_cast<std::ptrdiff_t>(Rng() % ThisVm.Running.size()));
  JobProgress &Progress = JobIt->second;
  if (Progress.Steps.empty())
    Progress.Steps.emplace_back(TasksPerJob);
  const auto TaskIt = std::ranges::find_if(
      Progress.Steps.front(),
      [](const TaskProgress &Task) { return Task.DoneRun == 0; });
  if (TaskIt == Progress.Steps.front().end())
    return;
  TaskIt->DoneRun = ++TaskIt->LastRun;
  const std::string Id = JobIt->first;
  const uint64_t Version = ThisVm.Writer->updateProgress(Id, Progress, Now);
  DoneTasksByVersion[{Name + Id, Version}] = countDoneTasks(Progress);
  collectEffects(Name);
}

void JobStoreNetwork::endJob(const std::string &Name, const std::string &Id) {
  Vm &ThisVm = Vms.at(Name);
  JobProgress Progress = ThisVm.Running.at(Id);
  ThisVm.Running.erase(Id);
  Progress.Steps.assign(1, std::vector<TaskProgress>(TasksPerJob));
  for (TaskProgress &Task : Progress.Steps.front())
    Task.DoneRun = ++Task.LastRun;
  Progress.Outcome = StoredOutcome::Done;
  const uint64_t Version = ThisVm.Writer->updateProgress(Id, Progress, Now);
  DoneTasksByVersion[{Name + Id, Version}] = TasksPerJob;
  collectEffects(Name);
}

void JobStoreNetwork::endAnyJob(const std::string &Name) {
  const std::vector<std::string> Ids = running(Name);
  if (!Ids.empty())
    endJob(Name, Ids[Rng() % Ids.size()]);
}

bool JobStoreNetwork::showsEnd(const std::string &Name,
                               const std::string &Id) const {
  const JobRecord *Record = Vms.at(Name).Copy->find(Id);
  return Record != nullptr && Vms.at(Name).Writer->confirmsEnd(*Record);
}

bool JobStoreNetwork::hasEnd(const std::string &Name,
                             const std::string &Id) const {
  const JobRecord *Record = Vms.at(Name).Copy->find(Id);
  return Record != nullptr && Record->Progress.Outcome != StoredOutcome::Open;
}

void JobStoreNetwork::recordShownEnds(const std::string &Name) {
  const Vm &ThisVm = Vms.at(Name);
  for (const auto &[Id, Record] : ThisVm.Copy->jobs())
    if (Record.Progress.Outcome != StoredOutcome::Open &&
        !ShownEnds.contains(Id) && ThisVm.Writer->confirmsEnd(Record))
      ShownEnds.insert(Id);
}

void JobStoreNetwork::run(Duration Time) {
  const Instant End = Now + Time;
  while (Now < End)
    step();
}

void JobStoreNetwork::step() {
  Now += StepPeriod;
  while (!Messages.empty() && Messages.begin()->first <= Now) {
    const InFlight Delivery = std::move(Messages.begin()->second);
    Messages.erase(Messages.begin());
    deliver(Delivery);
  }
  for (const std::string &Name : Names) {
    if (isDown(Name))
      continue;
    if (Rng() % 3 == 0 && !DisksStalled)
      sync(Name);
    Vm &ThisVm = Vms.at(Name);
    std::set<std::string> ReachableVms;
    std::ranges::copy_if(Names, std::inserter(ReachableVms, ReachableVms.end()),
                         [&](const std::string &Other) {
                           return Other == Name || reachable(Name, Other);
                         });
    ThisVm.Writer->setCopies(ReachableVms);
    considerClaims(Name);
    ThisVm.Copy->tick(Now);
    ThisVm.Writer->tick(Now);
    collectEffects(Name);
    recordShownEnds(Name);
  }
}

bool JobStoreNetwork::reachable(const std::string &Sender,
                                const std::string &Receiver) const {
  return Sender == Receiver || (!isDown(Receiver) && !Vms.at(Sender).Isolated &&
                                !Vms.at(Receiver).Isolated);
}

void JobStoreNetwork::considerClaims(const std::string &Name) {
  Vm &ThisVm = Vms.at(Name);
  std::size_t ReachableCount = 0;
  for (const std::string &Other : Names)
    ReachableCount += Other != Name && reachable(Name, Other) ? 1U : 0U;
  if (ReachableCount * 2 < Names.size() - 1)
    return;
  std::set<std::string> Partitions;
  for (const auto &[Id, Job] : ThisVm.Copy->jobs())
    Partitions.insert(Job.Partition);
  for (const std::string &Partition : Partitions) {
    const Ballot Promised = ThisVm.Copy->promisedBallot(Partition);
    const std::string Writer = Promised.Proposer.empty()
                                   ? partitionOpener(Partition)
                                   : Promised.Proposer;
    const std::string Address = writerAddress(Writer);
    const bool WriterAlive =
        writerName(Address, Incarnations[Address]) == Writer &&
        reachable(Name, Address);
    if (ThisVm.Writer->ownsOrClaims(Partition) ||
        (WriterAlive && Address != Name)) {
      ThisVm.UnreachableSince.erase(Partition);
      continue;
    }
    const Instant UnreachableStart =
        ThisVm.UnreachableSince.try_emplace(Partition, Now).first->second;
    if (Now - UnreachableStart > ClaimDelay && Rng() % 20 == 0)
      ThisVm.Writer->claim(Partition, Promised, Now);
  }
}

void JobStoreNetwork::deliver(const InFlight &Delivery) {
  const bool Lost =
      std::uniform_real_distribution<double>(0, 1)(Rng) < LossRate;
  const std::string &Sender = Delivery.Sender.Address;
  const uint64_t ReceiverIncarnation = Incarnations[Delivery.Receiver];
  const bool ForOtherProcess = Delivery.ReceiverIncarnation.value_or(
                                   ReceiverIncarnation) != ReceiverIncarnation;
  if (isDown(Delivery.Receiver) || ForOtherProcess ||
      Incarnations[Sender] != Delivery.Sender.Incarnation ||
      (Sender != Delivery.Receiver &&
       (Lost || !reachable(Sender, Delivery.Receiver))))
    return;
  Vm &ThisVm = Vms.at(Delivery.Receiver);
  ThisVm.Copy->receive(Delivery.Sender, Delivery.Message, Now);
  ThisVm.Writer->receive(Sender, Delivery.Message, Now);
  collectEffects(Delivery.Receiver);
}

void JobStoreNetwork::sync(const std::string &Name) {
  Vm &ThisVm = Vms.at(Name);
  const std::vector<AppendEntry> Written = std::exchange(ThisVm.Unsynced, {});
  for (const AppendEntry &Entry : Written)
    applyEntry(ThisVm.Disk, Entry.Entry);
  if (!Written.empty())
    ThisVm.Copy->confirmDurable(Written.back().Number);
  collectEffects(Name);
}

void JobStoreNetwork::collectEffects(const std::string &Name) {
  Vm &ThisVm = Vms.at(Name);
  const auto Enqueue = [&](const std::string &Receiver,
                           std::optional<uint64_t> ReceiverIncarnation,
                           const JobStoreMessage &Message) {
    Messages.emplace(Now + std::chrono::milliseconds(1 + Rng() % 12),
                     InFlight{{Name, Incarnations[Name]},
                              Receiver,
                              ReceiverIncarnation,
                              Message});
  };
  for (const CopyEffect &Effect : ThisVm.Copy->takeEffects()) {
    if (const auto *Send = std::get_if<SendToCopy>(&Effect))
      Enqueue(Send->Address, {}, Send->Message);
    else if (const auto *Reply = std::get_if<CopyReply>(&Effect))
      Enqueue(Reply->Receiver.Address, Reply->Receiver.Incarnation,
              Reply->Message);
    else
      ThisVm.Unsynced.push_back(std::get<AppendEntry>(Effect));
  }
  for (const WriterEffect &Effect : ThisVm.Writer->takeEffects()) {
    if (const auto *Send = std::get_if<SendToCopy>(&Effect))
      Enqueue(Send->Address, {}, Send->Message);
    else if (const auto *Stored = std::get_if<JobStored>(&Effect))
      apply(Name, *Stored);
    else if (const auto *Progress = std::get_if<ProgressStored>(&Effect))
      apply(Name, *Progress);
    else if (const auto *Lost = std::get_if<JobsLost>(&Effect))
      for (const std::string &Id : Lost->Ids)
        ThisVm.Running.erase(Id);
  }
}

void JobStoreNetwork::apply(const std::string &Name, const JobStored &Effect) {
  const std::string &Id = Effect.Job.Id;
  const auto DurableIt = DurableTasks.find(Id);
  if (DurableIt != DurableTasks.end() &&
      countDoneTasks(Effect.Progress) < DurableIt->second)
    Violations.push_back("lost durable tasks of " + Id);
  if (ShownEnds.contains(Id))
    Violations.push_back("runs again after its end was shown: " + Id);
  for (const std::string &Other : Names) {
    if (Other == Name)
      continue;
    const std::vector<std::string> Runs = running(Other);
    if (std::ranges::find(Runs, Id) != Runs.end())
      Violations.push_back("two writers of " + Id);
  }
  DurableTasks.try_emplace(Id, countDoneTasks(Effect.Progress));
  Vm &ThisVm = Vms.at(Name);
  DoneTasksByVersion[{Name + Id, ThisVm.Writer->version(Id)}] =
      countDoneTasks(Effect.Progress);
  ThisVm.Running[Id] = Effect.Progress;
}

void JobStoreNetwork::apply(const std::string &Name,
                            const ProgressStored &Effect) {
  std::size_t &DurableCount = DurableTasks[Effect.Id];
  const auto DoneIt =
      DoneTasksByVersion.find({Name + Effect.Id, Effect.Version});
  if (DoneIt != DoneTasksByVersion.end())
    DurableCount = std::max(DurableCount, DoneIt->second);
}

std::vector<std::string>
JobStoreNetwork::running(const std::string &Name) const {
  std::vector<std::string> Ids;
  const Vm &ThisVm = Vms.at(Name);
  if (isDown(Name) || Now >= ThisVm.Writer->writerLeaseEnd())
    return Ids;
  std::ranges::transform(ThisVm.Running, std::back_inserter(Ids),
                         [](const auto &Entry) { return Entry.first; });
  return Ids;
}

std::size_t JobStoreNetwork::durableTasks(const std::string &Id) const {
  const auto It = DurableTasks.find(Id);
  return It == DurableTasks.end() ? 0 : It->second;
}

std::size_t JobStoreNetwork::idleJobs() const {
  std::set<std::string> RunningIds;
  for (const std::string &Name : Names)
    for (const std::string &Id : running(Name))
      RunningIds.insert(Id);
  return static_cast<std::size_t>(
      std::ranges::count_if(DurableTasks, [&](const auto &Entry) {
        return !RunningIds.contains(Entry.first) &&
               !ShownEnds.contains(Entry.first);
      }));
}

} // namespace sapphiremoor
