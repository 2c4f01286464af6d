#include "tests/soak/ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor::soak {

namespace {

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

uint64_t versionOf(const std::string &Body) {
  const auto Root = nlohmann::json::parse(Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("version"))
    return 0;
  return Root["version"].get<uint64_t>();
}

} // namespace

void Ledger::submitted(const std::string &Job, unsigned Tasks, bool Stored) {
  Jobs[Job].Tasks = Tasks;
  Jobs[Job].Stored = Stored;
}

bool Ledger::stateTold(const std::string &Job, const std::string &State) {
  JobRecord &Of = Jobs[Job];
  if (State.empty())
    broken("an accepted job is not known: " + Job);
  if (State == "done" && Of.TasksDone.size() != Of.Tasks)
    broken("said done with tasks that are not: " + Job);
  if (Of.Ended && State != "done" && State != "failed")
    broken("an ended job is " + State + ": " + Job);
  Of.Ended |= State == "done" || State == "failed";
  return Of.Ended;
}

bool Ledger::allEnded() const {
  return std::ranges::all_of(Jobs, [](const auto &Each) {
    return !Each.second.Accepted || Each.second.Ended;
  });
}

void Ledger::checkAccepted() {
  for (const auto &[Job, Of] : Jobs)
    if (Of.Accepted && !Of.Ended)
      broken("an accepted job has not ended: " + Job);
}

void Ledger::started(const std::string &Backend, const std::string &Task) {
  const auto Job = Jobs.find(jobOf(Task));
  if (Job == Jobs.end()) {
    broken("started a task that nobody sent: " + Task);
    return;
  }
  Job->second.Started = true;
  if (Job->second.Stored && Confirmed.contains(Task))
    broken("started again after its end was confirmed: " + Task);
  const auto [Place, New] = Running.emplace(Task, Backend);
  if (!New)
    broken("two runs of " + Task + " on " + Place->second + " and " + Backend);
}

void Ledger::ended(const std::string &Backend, const std::string &Task,
                   bool TaskDone) {
  const auto Place = Running.find(Task);
  if (Place != Running.end() && Place->second == Backend)
    Running.erase(Place);
  if (TaskDone)
    Jobs[jobOf(Task)].TasksDone.insert(Task);
}

void Ledger::overfilled(const std::string &Backend) {
  broken("over its capacity: " + Backend);
}

void Ledger::answered(const std::string &Job, int Status,
                      const std::string &Body) {
  constexpr int Ok = 200;
  constexpr int NotRun = 503;
  JobRecord &Of = Jobs[Job];
  if (Status == Ok && Of.Stored) {
    Of.Accepted = true;
  } else if (Status == Ok && Body.find("done") != std::string::npos) {
    ++Done;
    if (Of.TasksDone.size() != Of.Tasks)
      broken("said done with tasks that are not: " + Job);
  } else if (Status == NotRun) {
    ++Refused;
    if (Of.Started && !Of.Open)
      broken("said not run, but it had: " + Job);
  } else {
    ++Other;
    Of.Open = true;
  }
}

void Ledger::unanswered(const std::string &Job, const std::string &Vm) {
  broken("no answer from the undisturbed " + Vm + " for " + Job);
}

void Ledger::configAcknowledged(uint64_t Version, const std::string &Body) {
  Acknowledged[Version] = Body;
  Newest = std::max(Newest, Version);
}

void Ledger::configRead(uint64_t Floor, const std::string &Body) {
  const uint64_t Version = versionOf(Body);
  if (Version < Floor)
    broken("read version " + std::to_string(Version) + " after " +
           std::to_string(Floor) + " was acknowledged");
}

} // namespace sapphiremoor::soak
