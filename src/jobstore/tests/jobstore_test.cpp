#include "jobstore/tests/jobstorenetwork.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string nameOf(std::size_t Number) {
  return "v" + std::to_string(Number) + ":1";
}

} // namespace

// Guards against a job that is accepted before a majority of disks has it.
TEST_CASE("a job is stored by a majority and not by one copy") {
  JobStoreNetwork World(3, 1);
  World.cut(nameOf(0), true);
  World.submit(nameOf(0), "j1");
  World.run(seconds(1));
  CHECK(World.storedJobs() == 0);
  World.cut(nameOf(0), false);
  World.run(milliseconds(500));
  CHECK(World.storedJobs() == 1);
  CHECK(World.running(nameOf(0)).size() == 1);
}

// Guards against a slow disk that ends the right to run jobs.
TEST_CASE("the right to run jobs does not wait for disks") {
  JobStoreNetwork World(3, 6);
  World.submit(nameOf(0), "j1");
  World.run(milliseconds(300));
  World.DisksStall = true;
  for (int Round = 0; Round < 40; ++Round) {
    World.work(nameOf(0));
    World.run(milliseconds(100));
    CHECK(World.running(nameOf(0)).size() == 1);
  }
}

// Guards against one job that two VMs run after it was sent to both.
TEST_CASE("a job that was sent to two VMs runs at one") {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    JobStoreNetwork World(3, Seed);
    World.submit(nameOf(0), "j1");
    World.submit(nameOf(1), "j1");
    World.run(seconds(2));
    const std::size_t Runs =
        World.running(nameOf(0)).size() + World.running(nameOf(1)).size();
    CHECK(Runs <= 1);
  }
}

// Guards against stored jobs that nobody runs after their VM was lost.
TEST_CASE("jobs of a lost VM are taken over with what was done") {
  JobStoreNetwork World(3, 2);
  World.submit(nameOf(0), "j1");
  World.run(milliseconds(300));
  World.work(nameOf(0));
  World.run(milliseconds(300));
  CHECK(World.durableTasks("j1") == 1);
  World.crash(nameOf(0), true);
  World.run(seconds(5));
  CHECK(World.idleJobs() == 0);
  CHECK(World.Violations.empty());
}

// Guards against run numbers of the former writer that are given out again, and
// against ends of its runs that find no task.
TEST_CASE("a job that is taken over before its first end has numbered tasks") {
  JobStoreNetwork World(3, 5);
  World.submit(nameOf(0), "j1");
  World.run(milliseconds(300));
  World.crash(nameOf(0), false);
  World.run(seconds(6));
  const std::string Taker =
      World.running(nameOf(1)).empty() ? nameOf(2) : nameOf(1);
  REQUIRE(World.running(Taker).size() == 1);
  const JobProgress &Known = World.progress(Taker, "j1");
  REQUIRE(Known.Steps.size() == 1);
  REQUIRE(Known.Steps.front().size() == 6);
  CHECK(Known.Steps.front().front().LastRun > 0);
}

// Guards against jobs that are lost when all VMs lose power at once.
TEST_CASE("stored jobs outlive the loss of all processes") {
  JobStoreNetwork World(3, 3);
  for (int Number = 0; Number < 20; ++Number)
    World.submit(nameOf(static_cast<std::size_t>(Number) % 3),
                 "j" + std::to_string(Number));
  World.run(seconds(1));
  const std::size_t Stored = World.storedJobs();
  CHECK(Stored == 20);
  for (const std::string &Name : World.names())
    World.crash(Name, false);
  for (const std::string &Name : World.names())
    World.restart(Name);
  World.run(seconds(6));
  CHECK(World.idleJobs() == 0);
  CHECK(World.Violations.empty());
}

// Guards against a vote of a copy that has lost what it had stored.
TEST_CASE("a wiped copy votes only after it was built anew") {
  JobStoreNetwork World(3, 4);
  World.submit(nameOf(0), "j1");
  World.run(milliseconds(500));
  World.crash(nameOf(1), true);
  World.cut(nameOf(2), true);
  World.restart(nameOf(1));
  World.run(seconds(1));
  CHECK_FALSE(World.whole(nameOf(1)));
  World.cut(nameOf(2), false);
  World.run(seconds(2));
  CHECK(World.whole(nameOf(1)));
  // The copy that was built anew stands for the one that is lost now.
  World.crash(nameOf(0), true);
  World.crash(nameOf(2), false);
  World.restart(nameOf(2));
  World.run(seconds(6));
  CHECK(World.idleJobs() == 0);
  CHECK(World.Violations.empty());
}

// Guards against forgotten tasks and against two VMs that run one job, under
// crashes, lost disks, partitions and lost messages.
TEST_CASE("random faults never forget a durable state or share a job") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    JobStoreNetwork World(Seed % 2 == 0 ? 3 : 5, Seed);
    World.Loss = 0.02 * static_cast<double>(Seed % 5);
    Random Rng(Seed);
    const std::vector<std::string> Names = World.names();
    std::size_t Jobs = 0;
    Instant LastWipe = World.Now;
    for (int Round = 0; Round < 250; ++Round) {
      const std::string &Name = Names[Rng() % Names.size()];
      const auto Down = static_cast<std::size_t>(std::ranges::count_if(
          Names, [&](const std::string &Each) { return World.down(Each); }));
      const bool AllWhole = std::ranges::all_of(
          Names, [&](const std::string &Each) { return World.whole(Each); });
      World.submit(Name, "j" + std::to_string(Jobs++ % 60));
      World.work(Names[Rng() % Names.size()]);
      switch (Rng() % 12) {
      case 0:
        // One disk at a time, once the last one is built anew.
        if (AllWhole && World.Now - LastWipe > seconds(4)) {
          World.crash(Name, true);
          LastWipe = World.Now;
        }
        break;
      case 1:
        if (Down == 0)
          World.crash(Name, false);
        break;
      case 2:
        World.cut(Name, true);
        break;
      case 3:
      case 4:
        World.cut(Name, false);
        break;
      case 5:
      case 6:
        World.restart(Name);
        break;
      default:
        break;
      }
      World.run(milliseconds(20 + Rng() % 120));
    }
    for (const std::string &Name : Names) {
      World.cut(Name, false);
      World.restart(Name);
    }
    World.Loss = 0;
    World.run(seconds(12));
    for (const std::string &Each : World.Violations)
      FAIL_CHECK(Each);
    CHECK(World.idleJobs() == 0);
  }
}
