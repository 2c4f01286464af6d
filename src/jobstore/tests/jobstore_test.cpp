#include "jobstore/tests/jobstorenetwork.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string vmName(std::size_t Number) {
  return "v" + std::to_string(Number) + ":1";
}

} // namespace

// Guards against a job that is accepted before a majority of disks has it.
TEST_CASE("a job counts as stored only after a majority of copies has it") {
  JobStoreNetwork Network(3, 1);
  Network.setIsolated(vmName(0), true);
  Network.submit(vmName(0), "j1");
  Network.run(seconds(1));
  CHECK(Network.storedJobs() == 0);
  Network.setIsolated(vmName(0), false);
  Network.run(milliseconds(500));
  CHECK(Network.storedJobs() == 1);
  CHECK(Network.running(vmName(0)).size() == 1);
}

// Guards against a slow disk that lets the writer lease expire.
TEST_CASE("a stalled disk does not end the writer lease") {
  JobStoreNetwork Network(3, 6);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.DisksStalled = true;
  for (int Round = 0; Round < 40; ++Round) {
    Network.finishTask(vmName(0));
    Network.run(milliseconds(100));
    CHECK(Network.running(vmName(0)).size() == 1);
  }
}

// Guards against a job that runs on two VMs after it was submitted to both.
TEST_CASE("a job submitted to two VMs runs on at most one") {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    JobStoreNetwork Network(3, Seed);
    Network.submit(vmName(0), "j1");
    Network.submit(vmName(1), "j1");
    Network.run(seconds(2));
    const std::size_t Runs =
        Network.running(vmName(0)).size() + Network.running(vmName(1)).size();
    CHECK(Runs <= 1);
  }
}

// Guards against stored jobs that no VM runs after their VM was lost.
TEST_CASE("jobs of a lost VM are taken over with their completed tasks") {
  JobStoreNetwork Network(3, 2);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.finishTask(vmName(0));
  Network.run(milliseconds(300));
  CHECK(Network.durableTasks("j1") == 1);
  Network.crash(vmName(0), true);
  Network.run(seconds(5));
  CHECK(Network.idleJobs() == 0);
  CHECK(Network.Violations.empty());
}

// Guards against a new writer that reuses run numbers of the former one, and
// against ends of former runs that match no task.
TEST_CASE("a job taken over before any task ended has run numbers") {
  JobStoreNetwork Network(3, 5);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.crash(vmName(0), false);
  Network.run(seconds(6));
  const std::string NewWriter =
      Network.running(vmName(1)).empty() ? vmName(2) : vmName(1);
  REQUIRE(Network.running(NewWriter).size() == 1);
  const JobProgress &Progress = Network.progress(NewWriter, "j1");
  REQUIRE(Progress.Steps.size() == 1);
  REQUIRE(Progress.Steps.front().size() == 6);
  CHECK(Progress.Steps.front().front().LastRun > 0);
}

// Guards against jobs that are lost when all VMs lose power at once.
TEST_CASE("stored jobs survive a crash of all processes") {
  JobStoreNetwork Network(3, 3);
  for (int Number = 0; Number < 20; ++Number)
    Network.submit(vmName(static_cast<std::size_t>(Number) % 3),
                   "j" + std::to_string(Number));
  Network.run(seconds(1));
  const std::size_t Stored = Network.storedJobs();
  CHECK(Stored == 20);
  for (const std::string &Name : Network.names())
    Network.crash(Name, false);
  for (const std::string &Name : Network.names())
    Network.restart(Name);
  Network.run(seconds(6));
  CHECK(Network.idleJobs() == 0);
  CHECK(Network.Violations.empty());
}

// Guards against the vote of a copy that lost its stored data.
TEST_CASE("a wiped copy votes only after it is rebuilt") {
  JobStoreNetwork Network(3, 4);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(500));
  Network.crash(vmName(1), true);
  Network.setIsolated(vmName(2), true);
  Network.restart(vmName(1));
  Network.run(seconds(1));
  CHECK_FALSE(Network.isComplete(vmName(1)));
  Network.setIsolated(vmName(2), false);
  Network.run(seconds(2));
  CHECK(Network.isComplete(vmName(1)));
  // The rebuilt copy replaces the copy that is lost now.
  Network.crash(vmName(0), true);
  Network.crash(vmName(2), false);
  Network.restart(vmName(2));
  Network.run(seconds(6));
  CHECK(Network.idleJobs() == 0);
  CHECK(Network.Violations.empty());
}

// Guards against a finished job that runs again: a writer that was cut off
// forgot a job that had ended as soon as the copies in its reach had the end,
// showed it as done, and another VM took it over as open.
TEST_CASE("an end that only the writer's own copy has is not shown") {
  JobStoreNetwork Network(3, 7);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.setIsolated(vmName(0), true);
  Network.endJob(vmName(0), "j1");
  Network.run(milliseconds(500));
  CHECK(Network.hasEnd(vmName(0), "j1"));
  CHECK_FALSE(Network.showsEnd(vmName(0), "j1"));
  Network.run(seconds(6));
  CHECK(Network.running(vmName(1)).size() + Network.running(vmName(2)).size() ==
        1);
  CHECK(Network.Violations.empty());
}

// Guards against an end that is never sent to the copies that a writer could
// not reach when the job ended.
TEST_CASE("an end reaches the other copies once they are in reach again") {
  JobStoreNetwork Network(3, 8);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.setIsolated(vmName(0), true);
  Network.endJob(vmName(0), "j1");
  Network.run(milliseconds(500));
  Network.setIsolated(vmName(0), false);
  Network.run(seconds(1));
  CHECK(Network.showsEnd(vmName(0), "j1"));
  for (const std::string &Name : Network.names())
    CHECK(Network.hasEnd(Name, "j1"));
  CHECK(Network.keptJobs(vmName(0)) == 0);
}

// Guards against a finished job that runs again minutes later: a copy that was
// cut off still had it as open after the other copies had forgotten its end.
TEST_CASE("a copy that missed an end gets it however late it returns") {
  JobStoreNetwork Network(3, 9);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.setIsolated(vmName(2), true);
  Network.endJob(vmName(0), "j1");
  Network.run(seconds(140));
  Network.setIsolated(vmName(2), false);
  Network.run(seconds(2));
  Network.crash(vmName(0), false);
  Network.run(seconds(8));
  CHECK(Network.running(vmName(1)).empty());
  CHECK(Network.running(vmName(2)).empty());
  CHECK(Network.Violations.empty());
}

// Guards against the same after a takeover: the new writer left out the jobs
// whose ends a majority had.
TEST_CASE("a new writer sends durable ends to the copies that lack them") {
  JobStoreNetwork Network(5, 10);
  Network.submit(vmName(0), "j1");
  Network.run(milliseconds(300));
  Network.setIsolated(vmName(4), true);
  Network.endJob(vmName(0), "j1");
  Network.run(seconds(1));
  Network.crash(vmName(0), false);
  Network.run(seconds(6));
  Network.setIsolated(vmName(4), false);
  Network.run(seconds(1));
  CHECK(Network.hasEnd(vmName(4), "j1"));
  CHECK(Network.Violations.empty());
}

// Guards against memory that grows for as long as a voter is gone.
TEST_CASE("a writer keeps a limited number of ends for a voter that is gone") {
  JobWriterLimits Limits;
  Limits.MaxUnsettledEnds = 10;
  JobStoreNetwork Network(3, 11, Limits);
  Network.setIsolated(vmName(2), true);
  for (int Number = 0; Number < 30; ++Number) {
    Network.submit(vmName(0), "j" + std::to_string(Number));
    Network.run(milliseconds(200));
    Network.endAnyJob(vmName(0));
  }
  Network.run(seconds(1));
  CHECK(Network.keptJobs(vmName(0)) == 10);
  CHECK(Network.hasEnd(vmName(1), "j0"));
  Network.setIsolated(vmName(2), false);
  Network.run(seconds(1));
  CHECK(Network.hasEnd(vmName(2), "j29"));
  CHECK(Network.keptJobs(vmName(0)) == 0);
}

// Guards against memory that grows with each job that is submitted to a VM that
// cannot reach a majority: none of them can be stored.
TEST_CASE("a writer that is cut off takes a limited number of jobs") {
  JobWriterLimits Limits;
  Limits.MaxOpenJobs = 10;
  JobStoreNetwork Network(3, 12, Limits);
  Network.setIsolated(vmName(0), true);
  for (int Number = 0; Number < 10; ++Number) {
    CHECK_FALSE(Network.isFull(vmName(0)));
    Network.submit(vmName(0), "j" + std::to_string(Number));
    Network.run(milliseconds(100));
  }
  CHECK(Network.isFull(vmName(0)));
  Network.setIsolated(vmName(0), false);
  Network.run(seconds(2));
  CHECK(Network.storedJobs() == 10);
  CHECK(Network.isFull(vmName(0)));
  Network.endAnyJob(vmName(0));
  Network.run(seconds(1));
  CHECK_FALSE(Network.isFull(vmName(0)));
}

// Guards against a job that runs before its takeover is stored: a late reply on
// the partition that the job had before counted as one on its new partition,
// whose versions are counted anew.
TEST_CASE("a reply on another partition of the job does not count") {
  constexpr Duration Delay = milliseconds(10);
  const std::string Partition = writerName("v9:1", 7) + "/1";
  JobWriterLimits Limits;
  Limits.TakeoverDelay = Delay;
  JobWriter Writer(Limits, "v0:1", 1);
  Writer.setVoters({1, {"v0:1", "v1:1", "v2:1"}});
  Writer.setCopies({"v0:1", "v1:1", "v2:1"});
  JobSubmission Job;
  Job.Id = "j1";
  Job.Stored = true;
  Job.Steps.emplace_back();
  Instant Now = instantAt(seconds(100));
  Writer.create(Job, Now);
  const PartitionOwnership OwnPartition{writerName("v0:1", 1) + "/1", {}};
  // Another writer has had the job committed to its partition.
  Writer.claim(Partition, {}, Now);
  JobRecord Record;
  Record.Submission = Job;
  Record.Version = 1;
  Record.Partition = Partition;
  Record.Committed = true;
  const Ballot Claimed{1, Writer.name()};
  for (const std::string Voter : {"v1:1", "v2:1"})
    Writer.receive(
        Voter,
        PartitionClaimed{{Partition, Claimed}, Claimed, {{Voter, 5}}, {Record}},
        Now);
  Now += Delay;
  Writer.tick(Now);
  REQUIRE(Writer.version("j1") == 2);
  Writer.takeEffects();
  for (const std::string Voter : {"v1:1", "v2:1"})
    Writer.receive(
        Voter, JobsWritten{OwnPartition, {}, {{Voter, 5}}, {{"j1", 1}}, {}, {}},
        Now);
  CHECK(Writer.takeEffects().empty());
}

// Guards against lost task progress, against two VMs that run the same job and
// against a finished job that runs again, under crashes, lost disks, network
// partitions and lost messages.
TEST_CASE("random faults neither lose progress nor let two VMs run a job") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    JobStoreNetwork Network(Seed % 2 == 0 ? 3 : 5, Seed);
    Network.LossRate = 0.02 * static_cast<double>(Seed % 5);
    Random Rng(Seed);
    const std::vector<std::string> Names = Network.names();
    std::size_t Jobs = 0;
    Instant LastWipe = Network.Now;
    for (int Round = 0; Round < 250; ++Round) {
      const std::string &Name = Names[Rng() % Names.size()];
      const auto Down = static_cast<std::size_t>(
          std::ranges::count_if(Names, [&](const std::string &Other) {
            return Network.isDown(Other);
          }));
      const bool AllWhole =
          std::ranges::all_of(Names, [&](const std::string &Other) {
            return Network.isComplete(Other);
          });
      Network.submit(Name, "j" + std::to_string(Jobs++ % 60));
      Network.finishTask(Names[Rng() % Names.size()]);
      if (Round % 5 == 0)
        Network.endAnyJob(Names[Rng() % Names.size()]);
      switch (Rng() % 12) {
      case 0:
        // Wipe one disk at a time, after the previous one has been rebuilt.
        if (AllWhole && Network.Now - LastWipe > seconds(4)) {
          Network.crash(Name, true);
          LastWipe = Network.Now;
        }
        break;
      case 1:
        if (Down == 0)
          Network.crash(Name, false);
        break;
      case 2:
        Network.setIsolated(Name, true);
        break;
      case 3:
      case 4:
        Network.setIsolated(Name, false);
        break;
      case 5:
      case 6:
        Network.restart(Name);
        break;
      default:
        break;
      }
      Network.run(milliseconds(20 + Rng() % 120));
    }
    for (const std::string &Name : Names) {
      Network.setIsolated(Name, false);
      Network.restart(Name);
    }
    Network.LossRate = 0;
    Network.run(seconds(12));
    for (const std::string &Violation : Network.Violations)
      FAIL_CHECK(Violation);
    CHECK(Network.idleJobs() == 0);
  }
}
