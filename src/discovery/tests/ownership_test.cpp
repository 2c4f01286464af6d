#include "discovery/ownership.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace sapphiremoor;

namespace {

MemberInfo makeControlVm(const std::string &Name,
                         const std::string &DataCentre) {
  return {{Name, 1}, MemberRole::Control, DataCentre, {}, false};
}

} // namespace

// Guards against dispatching across data centres without need.
TEST_CASE("a control VM of the same data centre is preferred") {
  const std::vector<MemberInfo> Live{makeControlVm("a", "nitra"),
                                     makeControlVm("b", "zilina")};
  CHECK(preferredOwner("w1", "nitra", Live) == "a");
  CHECK(preferredOwner("w1", "zilina", Live) == "b");
  CHECK(preferredOwner("w1", "trencin", Live).has_value());
  CHECK_FALSE(preferredOwner("w1", "nitra", {}).has_value());
}

// Guards against two VMs that take the same turn, or a turn that nobody takes.
TEST_CASE("each live VM has its own rank for a key") {
  const std::vector<MemberInfo> Live{makeControlVm("a", "nitra"),
                                     makeControlVm("b", "zilina"),
                                     makeControlVm("c", "trencin")};
  std::set<std::size_t> Ranks;
  for (const MemberInfo &Vm : Live)
    Ranks.insert(rendezvousRank("p", Live, Vm.Id.Name).value());
  CHECK(Ranks == std::set<std::size_t>{0, 1, 2});
  CHECK_FALSE(rendezvousRank("p", Live, "d").has_value());
}

// Guards against a change of one VM that moves the backend servers of others.
TEST_CASE("the loss of one VM moves only its own backend servers, evenly") {
  std::vector<MemberInfo> Live;
  for (int Number = 0; Number < 4; ++Number)
    Live.push_back(makeControlVm("core-" + std::to_string(Number), "nitra"));
  const std::vector<MemberInfo> Remaining(Live.begin() + 1, Live.end());
  std::map<std::string, int> Owned;
  for (int Number = 0; Number < 400; ++Number) {
    const std::string Backend = "i-" + std::to_string(Number);
    const std::string FormerOwner = *preferredOwner(Backend, "nitra", Live);
    ++Owned[FormerOwner];
    if (FormerOwner != "core-0")
      CHECK(*preferredOwner(Backend, "nitra", Remaining) == FormerOwner);
  }
  for (const auto &[Name, Count] : Owned)
    CHECK(Count > 60);
}
