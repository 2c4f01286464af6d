#include "leases/backendtable.h"

#include "framework/codec/serial.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Announcement server(const std::string &Id, uint16_t Port = 9000) {
  return {Id, "127.0.0.1", Port, "w1", "r1", {"quote"}, 8, 0};
}

Instant at(Duration SinceStart) { return instantAt(SinceStart); }

/// Returns a table with one server, whose interval is 1 s and whose lease is
/// 2.5 s.
BackendTable makeTable() {
  BackendTable Table;
  announce(Table, server("b"), at(seconds(0)));
  return Table;
}

} // namespace

// Guards against announcements that exceed their bandwidth budget.
TEST_CASE("announcements stay within 3,000 bytes/s at any number of servers") {
  CHECK(announcementInterval(0) == seconds(1));
  CHECK(announcementInterval(1) == seconds(1));
  CHECK(announcementInterval(50) == seconds(3));
  CHECK(announcementInterval(188) == seconds(12));
  CHECK(announcementInterval(940) == seconds(57));
  CHECK(leaseLength(announcementInterval(50)) == milliseconds(7500));
}

// Guards against sending mere renewals to the other VMs, which costs messages,
// and against missing a changed address, which would send tasks to the wrong
// place.
TEST_CASE("a join and a change are sent to other VMs, a renewal is not") {
  BackendTable Table;
  const auto JoinAnswer = announce(Table, server("b"), at(seconds(0)));
  CHECK(JoinAnswer.Outcome == AnnounceOutcome::Joined);
  CHECK(JoinAnswer.TableChange->Kind == BackendChangeKind::Joined);
  CHECK(JoinAnswer.NextAnnouncement == seconds(1));
  Announcement BusyServer = server("b");
  BusyServer.Running = 5;
  const auto RenewAnswer = announce(Table, BusyServer, at(seconds(1)));
  CHECK(RenewAnswer.Outcome == AnnounceOutcome::Renewed);
  CHECK_FALSE(RenewAnswer.TableChange.has_value());
  const auto ChangeAnswer = announce(Table, server("b", 9001), at(seconds(2)));
  CHECK(ChangeAnswer.Outcome == AnnounceOutcome::Changed);
  CHECK(ChangeAnswer.TableChange->Backend.Port == 9001);
  CHECK(find(Table, "b")->LastAnnouncement.Port == 9001);
}

// Guards against new tasks for a server that is leaving.
TEST_CASE("a leaving server gets no tasks and its announcements are refused") {
  BackendTable Table = makeTable();
  CHECK(acceptsTasks(Table, "b"));
  const auto LeaveChange = leave(Table, "b", at(seconds(1)));
  CHECK(LeaveChange->Kind == BackendChangeKind::Leaving);
  CHECK_FALSE(acceptsTasks(Table, "b"));
  CHECK_FALSE(leave(Table, "b", at(seconds(1))).has_value());
  const auto LateAnswer = announce(Table, server("b"), at(seconds(2)));
  CHECK(LateAnswer.Outcome == AnnounceOutcome::RefusedLeaving);
  recordContact(Table, "b", at(seconds(3)));
  CHECK_FALSE(connectFailed(Table, "b", at(seconds(3))).has_value());
  CHECK_FALSE(acceptsTasks(Table, "b"));
  CHECK(expire(Table, at(milliseconds(3499))).empty());
  const auto Changes = expire(Table, at(milliseconds(3500)));
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Kind == BackendChangeKind::Left);
}

// Guards against refusing a restarted process because its predecessor has left.
TEST_CASE("a new process may replace one that left") {
  BackendTable Table = makeTable();
  leave(Table, "b", at(seconds(1)));
  SUBCASE("at once on another port") {
    CHECK(announce(Table, server("b", 9001), at(seconds(1))).Outcome ==
          AnnounceOutcome::Joined);
  }
  SUBCASE("after the hold on the same port") {
    CHECK(announce(Table, server("b"), at(milliseconds(3500))).Outcome ==
          AnnounceOutcome::Joined);
  }
  CHECK(acceptsTasks(Table, "b"));
}

// Guards against an announcement or a restart that undoes an operator's drain.
TEST_CASE("a drain lasts until an operator ends it") {
  BackendTable Table = makeTable();
  CHECK(errorOf(drain(Table, "x")).Kind == ErrorKind::NotFound);
  CHECK(valueOf(drain(Table, "b")).Kind == BackendChangeKind::Drained);
  announce(Table, server("b"), at(seconds(1)));
  CHECK_FALSE(acceptsTasks(Table, "b"));
  takeOver(Table, at(seconds(1)));
  CHECK_FALSE(acceptsTasks(Table, "b"));
  CHECK(expire(Table, at(seconds(100))).size() == 1);
  announce(Table, server("b"), at(seconds(101)));
  CHECK_FALSE(acceptsTasks(Table, "b"));
  connectFailed(Table, "b", at(seconds(101)));
  CHECK(valueOf(undrain(Table, "b")).Backend.Id == "b");
  announce(Table, server("b"), at(seconds(102)));
  CHECK(acceptsTasks(Table, "b"));
}

// Guards against a new dispatcher that drops all servers because it received no
// renewals, or that keeps servers that have stopped.
TEST_CASE("a new dispatcher gives each known server a full lease") {
  BackendTable Table;
  for (int I = 0; I < 50; ++I)
    applyChange(Table,
                {BackendChangeKind::Joined, server("b" + std::to_string(I))},
                at(seconds(0)));
  takeOver(Table, at(seconds(1000)));
  CHECK(expire(Table, at(milliseconds(1007499))).empty());
  announce(Table, server("b7"), at(seconds(1003)));
  CHECK(expire(Table, at(milliseconds(1007500))).size() == 49);
  CHECK(acceptsTasks(Table, "b7"));
}

// Guards against a VM that joins and gets a different table than the
// dispatcher.
TEST_CASE("a snapshot brings another table to the same state") {
  BackendTable Table;
  for (const char *Id : {"serving", "drained", "leaving", "drained_absent"})
    announce(Table, server(Id), at(seconds(0)));
  drain(Table, "drained");
  drain(Table, "drained_absent");
  connectFailed(Table, "drained_absent", at(seconds(0)));
  leave(Table, "leaving", at(seconds(0)));
  BackendTable Copy;
  for (const BackendChange &Change : snapshot(Table))
    applyChange(Copy, valueOf(decode<BackendChange>(encode(Change))),
                at(seconds(0)));
  CHECK(snapshot(Copy) == snapshot(Table));
  for (const auto &[Id, Server] : Table.Backends)
    CHECK(stateName(*find(Copy, Id)) == stateName(Server));
  CHECK(Copy.Drained == Table.Drained);
}

// Guards against a VM that keeps sending tasks to a server that the dispatcher
// has removed, or that excludes a server that the dispatcher has accepted
// again.
TEST_CASE("changes from the dispatcher are applied") {
  BackendTable Table;
  applyChange(Table, {BackendChangeKind::Joined, server("b")}, at(seconds(0)));
  CHECK(acceptsTasks(Table, "b"));
  applyChange(Table, {BackendChangeKind::Drained, server("b")}, at(seconds(1)));
  CHECK_FALSE(acceptsTasks(Table, "b"));
  applyChange(Table, {BackendChangeKind::Undrained, server("b")},
              at(seconds(2)));
  CHECK(acceptsTasks(Table, "b"));
  applyChange(Table, {BackendChangeKind::Leaving, server("b")}, at(seconds(3)));
  CHECK_FALSE(acceptsTasks(Table, "b"));
  applyChange(Table, {BackendChangeKind::Joined, server("b")}, at(seconds(4)));
  CHECK(acceptsTasks(Table, "b"));
  applyChange(Table, {BackendChangeKind::Unreachable, server("b")},
              at(seconds(5)));
  CHECK(find(Table, "b") == nullptr);
}
