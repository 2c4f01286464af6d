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

/// A table with one server, whose interval is 1 s and whose lease is 2.5 s.
BackendTable tableOfOne() {
  BackendTable Table;
  announce(Table, server("b"), at(seconds(0)));
  return Table;
}

} // namespace

// Guards against announcements over the byte budget of the design.
TEST_CASE("announcements stay within 3,000 bytes/s at each size") {
  CHECK(announcementInterval(0) == seconds(1));
  CHECK(announcementInterval(1) == seconds(1));
  CHECK(announcementInterval(50) == seconds(3));
  CHECK(announcementInterval(188) == seconds(12));
  CHECK(announcementInterval(940) == seconds(57));
  CHECK(leaseLength(announcementInterval(50)) == milliseconds(7500));
}

// Guards against telling the other VMs of mere renewals, which would cost
// messages, or missing a changed address, which would send tasks to nobody.
TEST_CASE("a join and a change are told, a renewal is not") {
  BackendTable Table;
  const auto Joined = announce(Table, server("b"), at(seconds(0)));
  CHECK(Joined.Change == AnnounceOutcome::Joined);
  CHECK(Joined.Tell->Kind == BackendChangeKind::Joined);
  CHECK(Joined.NextAnnouncement == seconds(1));
  Announcement Busy = server("b");
  Busy.Running = 5;
  const auto Renewed = announce(Table, Busy, at(seconds(1)));
  CHECK(Renewed.Change == AnnounceOutcome::Renewed);
  CHECK_FALSE(Renewed.Tell.has_value());
  const auto Changed = announce(Table, server("b", 9001), at(seconds(2)));
  CHECK(Changed.Change == AnnounceOutcome::Changed);
  CHECK(Changed.Tell->Backend.Port == 9001);
  CHECK(find(Table, "b")->Last.Port == 9001);
}

// Guards against new work for a server that is leaving.
TEST_CASE("a leaving server gets no work and its announcements are refused") {
  BackendTable Table = tableOfOne();
  CHECK(takesWork(Table, "b"));
  const auto Left = leave(Table, "b", at(seconds(1)));
  CHECK(Left->Kind == BackendChangeKind::Leaving);
  CHECK_FALSE(takesWork(Table, "b"));
  CHECK_FALSE(leave(Table, "b", at(seconds(1))).has_value());
  const auto Late = announce(Table, server("b"), at(seconds(2)));
  CHECK(Late.Change == AnnounceOutcome::RefusedLeaving);
  contact(Table, "b", at(seconds(3)));
  CHECK_FALSE(connectFailed(Table, "b", at(seconds(3))).has_value());
  CHECK_FALSE(takesWork(Table, "b"));
  CHECK(expire(Table, at(milliseconds(3499))).empty());
  const auto Over = expire(Table, at(milliseconds(3500)));
  REQUIRE(Over.size() == 1);
  CHECK(Over[0].Kind == BackendChangeKind::Left);
}

// Guards against a restarted process that is shut out because its
// predecessor left.
TEST_CASE("a new process may follow one that left") {
  BackendTable Table = tableOfOne();
  leave(Table, "b", at(seconds(1)));
  SUBCASE("at once on another port") {
    CHECK(announce(Table, server("b", 9001), at(seconds(1))).Change ==
          AnnounceOutcome::Joined);
  }
  SUBCASE("after the hold on the same port") {
    CHECK(announce(Table, server("b"), at(milliseconds(3500))).Change ==
          AnnounceOutcome::Joined);
  }
  CHECK(takesWork(Table, "b"));
}

// Guards against an operator's drain that an announcement or a restart undoes.
TEST_CASE("a drain stays until it is undone") {
  BackendTable Table = tableOfOne();
  CHECK(errorOf(drain(Table, "x")).Kind == ErrorKind::NotFound);
  CHECK(valueOf(drain(Table, "b")).Kind == BackendChangeKind::Drained);
  announce(Table, server("b"), at(seconds(1)));
  CHECK_FALSE(takesWork(Table, "b"));
  takeOver(Table, at(seconds(1)));
  CHECK_FALSE(takesWork(Table, "b"));
  CHECK(expire(Table, at(seconds(100))).size() == 1);
  announce(Table, server("b"), at(seconds(101)));
  CHECK_FALSE(takesWork(Table, "b"));
  connectFailed(Table, "b", at(seconds(101)));
  CHECK(valueOf(undrain(Table, "b")).Backend.Id == "b");
  announce(Table, server("b"), at(seconds(102)));
  CHECK(takesWork(Table, "b"));
}

// Guards against a successor that drops all servers because it never heard
// their renewals, or that keeps dead ones.
TEST_CASE("a successor gives each known server one lease of grace") {
  BackendTable Table;
  for (int I = 0; I < 50; ++I)
    adopt(Table, {BackendChangeKind::Joined, server("b" + std::to_string(I))},
          at(seconds(0)));
  takeOver(Table, at(seconds(1000)));
  CHECK(expire(Table, at(milliseconds(1007499))).empty());
  announce(Table, server("b7"), at(seconds(1003)));
  CHECK(expire(Table, at(milliseconds(1007500))).size() == 49);
  CHECK(takesWork(Table, "b7"));
}

// Guards against a VM that joins and sees other servers than the dispatcher.
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
    adopt(Copy, valueOf(decode<BackendChange>(encode(Change))), at(seconds(0)));
  CHECK(snapshot(Copy) == snapshot(Table));
  for (const auto &[Id, Server] : Table.Backends)
    CHECK(stateName(*find(Copy, Id)) == stateName(Server));
  CHECK(Copy.Drained == Table.Drained);
}

// Guards against a VM that goes on sending to a server that the dispatcher
// has given up, or shuts out one that the dispatcher has taken back.
TEST_CASE("told changes are followed") {
  BackendTable Table;
  adopt(Table, {BackendChangeKind::Joined, server("b")}, at(seconds(0)));
  CHECK(takesWork(Table, "b"));
  adopt(Table, {BackendChangeKind::Drained, server("b")}, at(seconds(1)));
  CHECK_FALSE(takesWork(Table, "b"));
  adopt(Table, {BackendChangeKind::Undrained, server("b")}, at(seconds(2)));
  CHECK(takesWork(Table, "b"));
  adopt(Table, {BackendChangeKind::Leaving, server("b")}, at(seconds(3)));
  CHECK_FALSE(takesWork(Table, "b"));
  adopt(Table, {BackendChangeKind::Joined, server("b")}, at(seconds(4)));
  CHECK(takesWork(Table, "b"));
  adopt(Table, {BackendChangeKind::Unreachable, server("b")}, at(seconds(5)));
  CHECK(find(Table, "b") == nullptr);
}
