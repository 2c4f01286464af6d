#include "framework/storage/storagetask.h"
#include "framework/storage/tests/temporaryfolder.h"
#include "replication/tests/fakenetwork.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace sapphiremoor;
using namespace std::chrono_literals;
using sapphiremoor::testing::FakeNetwork;
using sapphiremoor::testing::TemporaryFolder;

namespace sapphiremoor::charts {
extern const char *const ReplicaChart;
} // namespace sapphiremoor::charts

namespace {

/// A replica on a real folder, connected to a storage task.
struct FolderReplica {
  ReplicaState State;
  RecoveredFolder Recovered;
  Random Rng{23};

  explicit FolderReplica(const TemporaryFolder &Folder) {
    OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
    Recovered = std::move(Opened.Recovered);
    Task = std::make_unique<StorageTask>(
        std::move(Opened.Log), [this](std::vector<StorageReply> Batch) {
          const std::lock_guard Lock(Mutex);
          LastReply = Batch.back();
          Wakeup.notify_one();
        });
  }

  void performEffects(const std::vector<ReplicaEffect> &Effects) {
    for (const ReplicaEffect &Effect : Effects)
      if (auto Request = toStorageRequest(Effect))
        Task->submit(std::move(*Request));
  }

  void handle(const ReplicaEvent &Event) {
    performEffects(step(State, Event, instantAt(10s), Rng));
  }

  /// Waits until all requests are durable and handling their replies adds no
  /// more.
  void waitUntilDurable() {
    while (State.DurablePersistNumber < State.LastPersistNumber) {
      std::unique_lock Lock(Mutex);
      Wakeup.wait(
          Lock, [this] { return LastReply.Number == State.LastPersistNumber; });
      REQUIRE_FALSE(isError(LastReply.Outcome));
      const ReplicaEvent Event = toReplicaEvent(LastReply);
      Lock.unlock();
      handle(Event);
    }
  }

private:
  std::mutex Mutex;
  std::condition_variable Wakeup;
  StorageReply LastReply;
  std::unique_ptr<StorageTask> Task;
};

RecoveredReplica recover(const RecoveredFolder &Folder, Random &Rng) {
  ReplicaConfig Config;
  Config.Self.Name = "a";
  Config.InitialVoters = {{"a", Folder.Identity}};
  auto Recovered = recoverReplica(Config, Folder, Instant{}, Rng);
  REQUIRE_FALSE(isError(Recovered));
  return takeValue(std::move(Recovered));
}

} // namespace

TEST_CASE("a single voter restarts after 100,000 changes and a snapshot") {
  // Guards against a log that grows without limit and against entries that are
  // dropped or applied twice when a snapshot shortens the log.
  const TemporaryFolder Folder;
  Random Rng(23);
  {
    FolderReplica Replica(Folder);
    RecoveredReplica InitialReplica = recover(Replica.Recovered, Rng);
    Replica.State = std::move(InitialReplica.State);
    Replica.performEffects(InitialReplica.Effects);
    Replica.handle(Tick{});
    Replica.waitUntilDurable();
    REQUIRE(Replica.State.Role == ReplicaRole::Leader);
    for (uint64_t I = 1; I <= 100'000; ++I) {
      Replica.handle(ProposeCommand{I, "change " + std::to_string(I)});
      if (I % 1000 == 0)
        Replica.waitUntilDurable();
      if (I == 90'000)
        Replica.handle(
            SnapshotCreated{Replica.State.Hard.CommitIndex, "state"});
    }
    Replica.waitUntilDurable();
  }
  OpenedLog Opened = takeValue(RecordLog::open(Folder.Path));
  CHECK(Opened.Recovered.Records.size() == 10'000);
  const RecoveredReplica Replica = recover(Opened.Recovered, Rng);
  CHECK(lastIndex(Replica.State) == 100'001);
  CHECK(Replica.State.Hard.CommitIndex == 100'001);
  const auto *Installed =
      std::get_if<InstallSnapshot>(&Replica.Effects.front());
  REQUIRE(Installed);
  CHECK(Installed->Bytes == "state");
  CHECK(std::get<ApplyCommand>(Replica.Effects[1]).Bytes == "change 90001");
}

TEST_CASE("a data folder that lost a committed entry is refused") {
  // Guards against treating a damaged last record as a torn tail.
  FakeNetwork Net(3, 29);
  Net.run(10s);
  Net.propose(Net.leader().value(), "x");
  Net.run(5s);
  RecoveredFolder Disk = Net.Nodes["a"].Disk;
  Disk.Records.pop_back();
  const auto Recovered = recoverReplica({}, Disk, Instant{}, Net.Rng);
  REQUIRE(isError(Recovered));
  CHECK(errorOf(Recovered).Kind == ErrorKind::CorruptData);
}

TEST_CASE("each change of role is in the state chart") {
  // Guards against a chart that no longer describes the code.
  const auto Chart = nlohmann::json::parse(charts::ReplicaChart);
  std::set<std::string> ChartChanges;
  for (const auto &[Name, State] : Chart.at("states").items())
    for (const auto &[Event, Transition] : State.at("on").items())
      ChartChanges.insert(Name + " " +
                          Transition.at("target").get<std::string>());
  FakeNetwork Net(3, 31);
  for (int I = 0; I < 40; ++I) {
    const std::string Name(1, static_cast<char>('a' + Net.Rng() % 3));
    if (Net.Rng() % 2 == 0)
      Net.isolate(Name);
    else
      Net.heal();
    Net.run(2s);
  }
  Net.heal();
  Net.run(5s);
  Net.changeVoter(VoterChangeKind::Remove, Net.voter(Net.leader().value()));
  Net.run(5s);
  Net.failStorage("a");
  CHECK(Net.RoleChanges.size() >= 8);
  for (const std::string &Change : Net.RoleChanges) {
    CAPTURE(Change);
    CHECK(ChartChanges.contains(Change));
  }
}
