#include "../announcer.h"
#include "../startcounter.h"
#include "../taskserver.h"
#include "fakevm.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>

using namespace sapphiremoor;
using namespace sapphiremoor::standin;

namespace {

/// Answer of the stand-in to one task.
struct Reply {
  int StatusCode = 0;
  bool NotStarted = false;
  std::string Body;
};

/// A stand-in and a client that share one event loop.
struct Fixture {
  Options Settings;
  EventBaseHandle Base{event_base_new()};
  StartCounter Starts{""};
  TaskServer Server{Base.get(), Settings, Starts};
  std::vector<Reply> Replies;
  std::size_t ExpectedReplies = 0;
  std::vector<ConnectionHandle> Connections;
  uint16_t Port = Server.listen();

  Fixture() { Settings.RunTime = std::chrono::milliseconds(20); }

  void post(const std::string &Task, const std::string &Body = "1") {
    Connections.emplace_back(
        evhttp_connection_base_new(Base.get(), nullptr, "127.0.0.1", Port));
    evhttp_request *Request = evhttp_request_new(onReply, this);
    evhttp_add_header(evhttp_request_get_output_headers(Request), "X-Task",
                      Task.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
                 Body.size());
    evhttp_make_request(Connections.back().get(), Request, EVHTTP_REQ_POST,
                        "/run/service");
    ExpectedReplies += 1;
  }

  static void onReply(evhttp_request *Request, void *Self) {
    auto &Test = *static_cast<Fixture *>(Self);
    Reply Answer;
    if (Request != nullptr) {
      Answer.StatusCode = evhttp_request_get_response_code(Request);
      Answer.NotStarted =
          evhttp_find_header(evhttp_request_get_input_headers(Request),
                             "X-Not-Started") != nullptr;
      evbuffer *Input = evhttp_request_get_input_buffer(Request);
      Answer.Body.resize(evbuffer_get_length(Input));
      evbuffer_copyout(Input, Answer.Body.data(), Answer.Body.size());
    }
    Test.Replies.push_back(Answer);
    if (Test.Replies.size() == Test.ExpectedReplies)
      event_base_loopbreak(Test.Base.get());
  }

  long countReplies(int StatusCode) const {
    return std::ranges::count(Replies, StatusCode, &Reply::StatusCode);
  }
};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

// Guards against a refusal that is counted as a start, or that lacks the header
// X-Not-Started.
TEST_CASE("tasks beyond the free slots are refused and not counted as starts") {
  Fixture Test;
  Test.Settings.Slots = 2;
  // Long enough that all three requests arrive while the first two run.
  Test.Settings.RunTime = std::chrono::milliseconds(500);
  for (const char *Task : {"k.1/0", "k.1/1", "k.1/2"})
    Test.post(Task);
  event_base_dispatch(Test.Base.get());
  CHECK(Test.countReplies(200) == 2);
  CHECK(Test.countReplies(503) == 1);
  for (const Reply &Answer : Test.Replies)
    CHECK(Answer.NotStarted == (Answer.StatusCode == 503));
  CHECK(Test.Starts.total() == 2);
}

// Guards against an answer that is not valid JSON when the body of the task is
// not.
TEST_CASE("the answer holds the service, the task and the worker") {
  Fixture Test;
  Test.post("k.1/0", R"({"a":1})");
  event_base_dispatch(Test.Base.get());
  CHECK(Test.Replies.at(0).Body ==
        R"({"service":"service","task":{"a":1},"worker":"worker"})");
  Test.post("k.1/1", "a \"b");
  event_base_dispatch(Test.Base.get());
  CHECK(Test.Replies.at(1).Body ==
        R"({"service":"service","task":"a \"b","worker":"worker"})");
}

// Guards against a leaving server that accepts tasks, and against a call of
// OnLeave for each further task.
TEST_CASE(
    "in the mode leaving the server leaves after the set number of tasks") {
  Fixture Test;
  Test.Settings.TaskMode = Mode::Leaving;
  Test.Settings.LeaveAfterTasks = 2;
  int LeaveCount = 0;
  Test.Server.OnLeave = [&] { LeaveCount += 1; };
  for (const char *Task : {"k.1/0", "k.1/1", "k.1/2", "k.1/3"})
    Test.post(Task);
  event_base_dispatch(Test.Base.get());
  CHECK(Test.countReplies(200) == 2);
  CHECK(Test.countReplies(503) == 2);
  CHECK(LeaveCount == 1);
}

// Guards against a repeated start that goes unnoticed in the tests.
TEST_CASE(
    "repeated starts of a task are counted and each start writes a line") {
  const std::string Path = "standin_counts_" + std::to_string(getpid());
  {
    StartCounter Starts(Path);
    for (const char *Task : {"k.1/0", "k.1/1", "k.1/0", "k.1/0"})
      Starts.countStart(Task);
    CHECK(Starts.ok());
    CHECK(Starts.total() == 4);
    CHECK(Starts.repeated() == 2);
    CHECK(readFile(Path) == "k.1/0\nk.1/1\nk.1/0\nk.1/0\n");
  }
  std::remove(Path.c_str());
  CHECK_FALSE(StartCounter("/nowhere/counts").ok());
}

// Guards against a stand-in that keeps announcing to a VM that is not the
// dispatcher, or that gives up when one VM is down.
TEST_CASE(
    "announcements go where the answers direct them and skip a failing VM") {
  const EventBaseHandle Base(event_base_new());
  FakeVm DispatcherVm(Base.get());
  FakeVm OtherVm(Base.get());
  FakeVm BrokenVm(Base.get());
  BrokenVm.StatusCode = 503;
  BrokenVm.StopAfterRequests = OtherVm.StopAfterRequests = 100;
  OtherVm.Answer =
      R"({"next_ms":10,"announce_to":{"address":"127.0.0.1","port":)" +
      std::to_string(DispatcherVm.Port) + "}}";
  Options Settings;
  Settings.Token = "secret";
  Settings.AnnounceTargets = {{"127.0.0.1", BrokenVm.Port},
                              {"127.0.0.1", OtherVm.Port}};
  Announcer Sender(Base.get(), Settings, [] { return 3U; });
  Sender.start(9000);
  DispatcherVm.StopAfterRequests = 2;
  event_base_dispatch(Base.get());
  CHECK(BrokenVm.RequestLines.size() == 1);
  CHECK(OtherVm.RequestLines.size() == 1);
  CHECK(DispatcherVm.RequestLines.at(1) ==
        "POST /v1/backends/backend Bearer secret");
  CHECK(DispatcherVm.Bodies.at(1) ==
        R"({"address":"127.0.0.1","port":9000,"rack":"rack","running":3,)"
        R"("services":["service"],"slots":8,"worker":"worker"})");
}

// Guards against a DELETE that is lost because the first VM is down, and
// against announcements after the DELETE.
TEST_CASE("leaving sends DELETE until one VM accepts it") {
  const EventBaseHandle Base(event_base_new());
  FakeVm AcceptingVm(Base.get());
  FakeVm BrokenVm(Base.get());
  BrokenVm.StatusCode = 500;
  BrokenVm.StopAfterRequests = AcceptingVm.StopAfterRequests = 100;
  Options Settings;
  Settings.AnnounceTargets = {{"127.0.0.1", BrokenVm.Port},
                              {"127.0.0.1", AcceptingVm.Port}};
  Announcer Sender(Base.get(), Settings, [] { return 0U; });
  Sender.start(9000);
  int LeaveCount = 0;
  Sender.leave([&] {
    LeaveCount += 1;
    const timeval Delay = toTimeval(std::chrono::milliseconds(100));
    event_base_loopexit(Base.get(), &Delay);
  });
  event_base_dispatch(Base.get());
  CHECK(LeaveCount == 1);
  CHECK(BrokenVm.RequestLines ==
        std::vector<std::string>{"DELETE /v1/backends/backend "});
  CHECK(AcceptingVm.RequestLines ==
        std::vector<std::string>{"DELETE /v1/backends/backend "});
}
