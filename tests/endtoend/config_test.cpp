#include "deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace sapphiremoor;
using namespace sapphiremoor::endtoend;

namespace {

const std::vector<Vm> ThreeDataCentres{{"a1", "nitra", true},
                                       {"b1", "zilina", true},
                                       {"c1", "trencin", true},
                                       {"c2", "trencin", false}};

std::string teamFile(int Share) {
  return R"({"teams": {"extra": {"share": )" + std::to_string(Share) + "}}}";
}

std::string leader(Deployment &Cluster, const std::string &Vm) {
  const Json Replica = Cluster.status(Vm).value("replica", Json());
  return Replica.is_object() && Replica["leader"].is_string()
             ? Replica["leader"].get<std::string>()
             : "";
}

uint64_t revision(Deployment &Cluster, const std::string &Vm) {
  return Cluster.status(Vm).value("revision", uint64_t{0});
}

void waitForRevision(Deployment &Cluster, const std::string &Vm,
                     uint64_t Revision) {
  Cluster.waitUntil("revision " + std::to_string(Revision) + " at " + Vm,
                    [&] { return revision(Cluster, Vm) >= Revision; });
}

} // namespace

TEST_CASE("of two changes to the same revision one wins, the other conflicts") {
  Deployment Cluster(ThreeDataCentres);
  Cluster.configure();
  const auto Send = [&](const std::string &Vm, const std::string &Token,
                        const std::string &RequestId) {
    return Cluster.beginCall(
        Vm, Token, HttpMethod::Post,
        "/v1/config/files/30-extra.json?expected_revision=1"
        "&request_id=" +
            RequestId,
        teamFile(Token == "operator-eva" ? 1 : 2));
  };
  const auto EvaReply = Send("a1", "operator-eva", "eva-1");
  const auto JanReply = Send("c2", "operator-jan", "jan-1");
  const Reply EvaAnswer = EvaReply->wait();
  const Reply JanAnswer = JanReply->wait();
  const bool EvaWon = EvaAnswer.StatusCode == 200;
  CHECK(EvaWon != (JanAnswer.StatusCode == 200));
  const Reply &LosingAnswer = EvaWon ? JanAnswer : EvaAnswer;
  CHECK(LosingAnswer.errorKind() == "conflict");
  CHECK(LosingAnswer.Body.dump().find(EvaWon ? "eva" : "jan") !=
        std::string::npos);
  // A client that resends its request id after a lost answer gets the first
  // answer at every VM.
  CHECK(Send("b1", "operator-eva", "eva-1")->wait().Body == EvaAnswer.Body);
  CHECK(Send("b1", "operator-jan", "jan-1")->wait().Body == JanAnswer.Body);
  CHECK(revision(Cluster, "a1") == 2);
}

TEST_CASE("accepted changes survive kill -9 of the leader and of all VMs") {
  Deployment Cluster(ThreeDataCentres);
  Cluster.configure();
  const std::string Leader = leader(Cluster, "a1");
  REQUIRE_FALSE(Leader.empty());
  Cluster.vm(Leader).kill();
  const std::string OtherVm = Leader == "a1" ? "b1" : "a1";
  Cluster.applyFileWithRetries(OtherVm, "30-extra.json", teamFile(1));
  waitForRevision(Cluster, "c2", 2);
  Cluster.startVm(Leader);
  waitForRevision(Cluster, Leader, 2);
  for (const std::string Vm : {"a1", "b1", "c1", "c2"})
    Cluster.vm(Vm).kill();
  for (const std::string Vm : {"a1", "b1", "c1", "c2"})
    Cluster.startVm(Vm);
  for (const std::string Vm : {"a1", "b1", "c1", "c2"})
    waitForRevision(Cluster, Vm, 2);
}

TEST_CASE("a minority accepts no change, keeps its revision and catches up") {
  Deployment Cluster(ThreeDataCentres);
  Cluster.configure();
  Cluster.vm("a1").signal(SIGSTOP);
  Cluster.vm("b1").signal(SIGSTOP);
  const Reply MinorityAnswer =
      Cluster.applyFile("c2", "30-extra.json", teamFile(1), 1, "minority");
  CHECK(MinorityAnswer.StatusCode >= 500);
  CHECK(revision(Cluster, "c1") == 1);
  Cluster.vm("a1").signal(SIGCONT);
  Cluster.applyFileWithRetries("c2", "40-more.json", teamFile(3));
  Cluster.vm("b1").signal(SIGCONT);
  waitForRevision(Cluster, "c2", 2);
  const uint64_t FinalRevision = revision(Cluster, "c2");
  for (const std::string Vm : {"a1", "b1", "c1"})
    waitForRevision(Cluster, Vm, FinalRevision);
}

TEST_CASE("a voter that lost its data rejoins as learner and is replaced") {
  Deployment Cluster(ThreeDataCentres);
  Cluster.configure();
  Cluster.vm("b1").kill();
  Cluster.wipeData("b1");
  Cluster.startVm("b1");
  Cluster.waitUntil("the VM without data to follow as learner", [&] {
    const Json Replica = Cluster.status("b1").value("replica", Json());
    return Replica.is_object() && Replica["role"] == "learner" &&
           revision(Cluster, "b1") >= 1;
  });
  const auto ChangeVoter = [&](HttpMethod Method) {
    return Cluster.call("a1", "operator-eva", Method, "/v1/config/voters/b1")
        .StatusCode;
  };
  Cluster.waitUntil("removal of the old voter",
                    [&] { return ChangeVoter(HttpMethod::Delete) == 200; });
  Cluster.waitUntil("addition of the new voter",
                    [&] { return ChangeVoter(HttpMethod::Post) == 200; });
  // A second voter fails right after the repair. The change is accepted only if
  // the replaced voter counts towards the majority.
  Cluster.vm("a1").kill();
  Cluster.applyFileWithRetries("c2", "30-extra.json", teamFile(1));
  waitForRevision(Cluster, "b1", 2);
}

TEST_CASE("an invalid change is rejected with file and line, without effect") {
  Deployment Cluster({{"a1", "nitra", true}});
  Cluster.configure();
  const Reply SyntaxErrorAnswer =
      Cluster.applyFile("a1", "30-x.json", "{\n  oops", 1, "r1");
  CHECK(SyntaxErrorAnswer.errorKind() == "bad_json");
  CHECK(SyntaxErrorAnswer.Body["error"]["message"].get<std::string>().find(
            "30-x.json:2:") != std::string::npos);
  const Reply NoServiceAnswer =
      Cluster.call("a1", "operator-eva", HttpMethod::Delete,
                   "/v1/config/files/10-services.json"
                   "?expected_revision=1&request_id=r2");
  CHECK(NoServiceAnswer.errorKind() == "no_service");
  CHECK(revision(Cluster, "a1") == 1);
}
