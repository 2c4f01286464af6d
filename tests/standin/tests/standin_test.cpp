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

/// One answer of the stand-in.
struct Reply {
  int Code = 0;
  bool NotStarted = false;
  std::string Body;
};

/// A stand-in and a client in one event loop.
struct Fixture {
  Options Settings;
  BaseHandle Base{event_base_new()};
  StartCounter Starts{""};
  TaskServer Server{Base.get(), Settings, Starts};
  std::vector<Reply> Replies;
  std::size_t Wanted = 0;
  std::vector<LinkHandle> Links;
  uint16_t Port = Server.listen();

  Fixture() { Settings.Run = std::chrono::milliseconds(20); }

  void post(const std::string &Task, const std::string &Body = "1") {
    Links.emplace_back(
        evhttp_connection_base_new(Base.get(), nullptr, "127.0.0.1", Port));
    evhttp_request *Request = evhttp_request_new(onReply, this);
    evhttp_add_header(evhttp_request_get_output_headers(Request), "X-Task",
                      Task.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
                 Body.size());
    evhttp_make_request(Links.back().get(), Request, EVHTTP_REQ_POST,
                        "/run/service");
    Wanted += 1;
  }

  static void onReply(evhttp_request *Request, void *Self) {
    auto &Here = *static_cast<Fixture *>(Self);
    Reply Got;
    if (Request != nullptr) {
      Got.Code = evhttp_request_get_response_code(Request);
      Got.NotStarted =
          evhttp_find_header(evhttp_request_get_input_headers(Request),
                             "X-Not-Started") != nullptr;
      evbuffer *Input = evhttp_request_get_input_buffer(Request);
      Got.Body.resize(evbuffer_get_length(Input));
      evbuffer_copyout(Input, Got.Body.data(), Got.Body.size());
    }
    Here.Replies.push_back(Got);
    if (Here.Replies.size() == Here.Wanted)
      event_base_loopbreak(Here.Base.get());
  }

  long count(int Code) const {
    return std::ranges::count(Replies, Code, &Reply::Code);
  }
};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

// Guards against a refusal that is counted as a start, or that does not say
// that nothing was started.
TEST_CASE("tasks beyond the slots are refused and not counted") {
  Fixture Here;
  Here.Settings.Slots = 2;
  // Long enough that all three requests arrive while the first two run.
  Here.Settings.Run = std::chrono::milliseconds(500);
  for (const char *Task : {"k.1/0", "k.1/1", "k.1/2"})
    Here.post(Task);
  event_base_dispatch(Here.Base.get());
  CHECK(Here.count(200) == 2);
  CHECK(Here.count(503) == 1);
  for (const Reply &Got : Here.Replies)
    CHECK(Got.NotStarted == (Got.Code == 503));
  CHECK(Here.Starts.total() == 2);
}

// Guards against an answer that is not JSON when the task is not.
TEST_CASE("the answer holds the service, the task and the worker") {
  Fixture Here;
  Here.post("k.1/0", R"({"a":1})");
  event_base_dispatch(Here.Base.get());
  CHECK(Here.Replies.at(0).Body ==
        R"({"service":"service","task":{"a":1},"worker":"worker"})");
  Here.post("k.1/1", "a \"b");
  event_base_dispatch(Here.Base.get());
  CHECK(Here.Replies.at(1).Body ==
        R"({"service":"service","task":"a \"b","worker":"worker"})");
}

// Guards against a leaving server that takes work, and against a callback for
// each further task.
TEST_CASE("in the mode leaving the server leaves after its tasks") {
  Fixture Here;
  Here.Settings.Behaviour = Mode::Leaving;
  Here.Settings.LeaveAfter = 2;
  int Leaves = 0;
  Here.Server.OnLeave = [&] { Leaves += 1; };
  for (const char *Task : {"k.1/0", "k.1/1", "k.1/2", "k.1/3"})
    Here.post(Task);
  event_base_dispatch(Here.Base.get());
  CHECK(Here.count(200) == 2);
  CHECK(Here.count(503) == 2);
  CHECK(Leaves == 1);
}

// Guards against a second start that the tests would not see.
TEST_CASE("starts of the same task are counted and written one a line") {
  const std::string Path = "standin_counts_" + std::to_string(getpid());
  {
    StartCounter Starts(Path);
    for (const char *Task : {"k.1/0", "k.1/1", "k.1/0", "k.1/0"})
      Starts.started(Task);
    CHECK(Starts.ok());
    CHECK(Starts.total() == 4);
    CHECK(Starts.repeated() == 2);
    CHECK(readFile(Path) == "k.1/0\nk.1/1\nk.1/0\nk.1/0\n");
  }
  std::remove(Path.c_str());
  CHECK_FALSE(StartCounter("/nowhere/counts").ok());
}

// Guards against a stand-in that stays with a VM that is not the dispatcher,
// or gives up when one VM is down.
TEST_CASE("announcements follow the answers and pass over a dead VM") {
  const BaseHandle Base(event_base_new());
  FakeVm Dispatcher(Base.get());
  FakeVm Other(Base.get());
  FakeVm Broken(Base.get());
  Broken.Code = 503;
  Broken.StopAfter = Other.StopAfter = 100;
  Other.Answer =
      R"({"next_ms":10,"announce_to":{"address":"127.0.0.1","port":)" +
      std::to_string(Dispatcher.Port) + "}}";
  Options Settings;
  Settings.Token = "secret";
  Settings.Announce = {{"127.0.0.1", Broken.Port}, {"127.0.0.1", Other.Port}};
  Announcer Sender(Base.get(), Settings, [] { return 3U; });
  Sender.start(9000);
  Dispatcher.StopAfter = 2;
  event_base_dispatch(Base.get());
  CHECK(Broken.Lines.size() == 1);
  CHECK(Other.Lines.size() == 1);
  CHECK(Dispatcher.Lines.at(1) == "POST /v1/backends/backend Bearer secret");
  CHECK(Dispatcher.Bodies.at(1) ==
        R"({"address":"127.0.0.1","port":9000,"rack":"rack","running":3,)"
        R"("services":["service"],"slots":8,"worker":"worker"})");
}

// Guards against a DELETE that is lost because the first VM is down, and
// against announcements after it.
TEST_CASE("leaving sends one DELETE that is taken") {
  const BaseHandle Base(event_base_new());
  FakeVm Taker(Base.get());
  FakeVm Broken(Base.get());
  Broken.Code = 500;
  Broken.StopAfter = Taker.StopAfter = 100;
  Options Settings;
  Settings.Announce = {{"127.0.0.1", Broken.Port}, {"127.0.0.1", Taker.Port}};
  Announcer Sender(Base.get(), Settings, [] { return 0U; });
  Sender.start(9000);
  int Left = 0;
  Sender.leave([&] {
    Left += 1;
    const timeval Rest = timevalOf(std::chrono::milliseconds(100));
    event_base_loopexit(Base.get(), &Rest);
  });
  event_base_dispatch(Base.get());
  CHECK(Left == 1);
  CHECK(Broken.Lines ==
        std::vector<std::string>{"DELETE /v1/backends/backend "});
  CHECK(Taker.Lines ==
        std::vector<std::string>{"DELETE /v1/backends/backend "});
}
