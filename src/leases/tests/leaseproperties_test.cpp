#include "leases/backendtable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <iostream>
#include <map>
#include <tuple>

using namespace sapphiremoor;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t Seed = 20260;

/// Runs a property with a fixed seed.
template <typename Property> bool checkProperty(Property &&Check) {
  rc::detail::TestMetadata Metadata;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 500;
  const auto Outcome = rc::detail::checkTestable(std::forward<Property>(Check),
                                                 Metadata, Params);
  rc::detail::printResultMessage(Outcome, std::cerr);
  return Outcome.template is<rc::detail::SuccessResult>();
}

Announcement server(int Number) {
  return {
      "b" + std::to_string(Number), "127.0.0.1", 9000, "w", "r", {"s"}, 8, 0};
}

/// Expected restrictions on one server after the operations so far.
struct ExpectedState {
  bool Drained = false;
  Instant NoWorkUntil;
};

/// An operation: its number, the server, and the pause before it in
/// milliseconds.
using Operation = std::tuple<int, int, int>;

/// Performs one operation and updates the expected restrictions.
void perform(BackendTable &Table, ExpectedState &Expectation,
             int OperationNumber, int Number, Instant Now) {
  const std::string Id = server(Number).Id;
  switch (OperationNumber) {
  case 0:
    announce(Table, server(Number), Now);
    return;
  case 1:
    if (const auto *Current = find(Table, Id); Current != nullptr) {
      const Duration Lease = leaseLength(Current->Interval);
      if (leave(Table, Id, Now))
        Expectation.NoWorkUntil = Now + std::min<Duration>(Lease, seconds(30));
    }
    return;
  case 2:
    Expectation.Drained = Expectation.Drained || !isError(drain(Table, Id));
    return;
  case 3:
    undrain(Table, Id);
    Expectation.Drained = false;
    return;
  case 4:
    recordContact(Table, Id, Now);
    return;
  case 5:
    connectFailed(Table, Id, Now);
    return;
  default:
    takeOver(Table, Now);
  }
}

} // namespace

// Guards against a lease that ends although the server announces itself on
// time, also if every second announcement is lost and the table grows in
// between.
TEST_CASE("no server that announces itself on time expires") {
  CHECK(checkProperty([] {
    const int Count = *rc::gen::inRange(1, 120);
    BackendTable Table;
    std::multimap<Instant, int> Due;
    for (int I = 0; I < Count; ++I)
      Due.emplace(instantAt(milliseconds(*rc::gen::inRange(0, 5000))), I);
    std::array<int, 120> LostCounts{};
    for (int Round = 0; Round < 6 * Count; ++Round) {
      const auto [Now, Number] = *Due.begin();
      Due.erase(Due.begin());
      for (const BackendChange &Change : expire(Table, Now))
        RC_FAIL("expired: " + Change.Backend.Id);
      const Duration Pause = announcementInterval(Table.Backends.size());
      const bool IsLost =
          find(Table, server(Number).Id) != nullptr &&
          LostCounts.at(static_cast<std::size_t>(Number))++ % 2 == 0;
      const Duration NextInterval =
          IsLost ? find(Table, server(Number).Id)->Interval
                 : announce(Table, server(Number), Now).NextAnnouncement;
      RC_ASSERT(IsLost ||
                NextInterval >= std::min<Duration>(Pause, seconds(1)));
      Due.emplace(Now + NextInterval, Number);
    }
  }));
}

// Guards against a server that stays in the table after its announcements stop.
TEST_CASE("a silent server expires after exactly 2.5 intervals") {
  CHECK(checkProperty([] {
    const int Count = *rc::gen::inRange(1, 300);
    const Duration LastTime = milliseconds(*rc::gen::inRange(0, 100000));
    BackendTable Table;
    for (int I = 0; I < Count; ++I)
      announce(Table, server(I), instantAt(Duration(0)));
    const auto Answer = announce(Table, server(0), instantAt(LastTime));
    const Instant End = instantAt(LastTime) + Answer.NextAnnouncement * 5 / 2;
    const auto IsKnown = [&] { return find(Table, "b0") != nullptr; };
    expire(Table, End - Duration(1));
    RC_ASSERT(IsKnown());
    expire(Table, End);
    RC_ASSERT(!IsKnown());
  }));
}

// Guards against an order of events that gives tasks to a drained or leaving
// server, keeps a server whose lease has ended, or shortens a lease on contact.
TEST_CASE("no order of events gives tasks to a drained or leaving server") {
  CHECK(checkProperty([] {
    const auto Operations = *rc::gen::container<std::vector<Operation>>(
        rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3),
                       rc::gen::inRange(0, 2000)));
    BackendTable Table;
    std::array<ExpectedState, 3> Expectations;
    Instant Now;
    for (const auto &[OperationNumber, Number, Pause] : Operations) {
      Now += milliseconds(Pause);
      expire(Table, Now);
      auto &Expectation = Expectations.at(static_cast<std::size_t>(Number));
      const std::string Id = server(Number).Id;
      const Backend *Current = find(Table, Id);
      const Instant OldLeaseEnd =
          Current == nullptr ? Instant() : Current->LeaseEnd;
      perform(Table, Expectation, OperationNumber, Number, Now);
      Current = find(Table, Id);
      if (OperationNumber == 4 && Current != nullptr)
        RC_ASSERT(Current->LeaseEnd >= OldLeaseEnd);
      for (const auto &[Key, Server] : Table.Backends)
        RC_ASSERT(Server.LeaseEnd > Now);
      if (Expectation.Drained || Now < Expectation.NoWorkUntil)
        RC_ASSERT(!acceptsTasks(Table, Id));
    }
  }));
}
