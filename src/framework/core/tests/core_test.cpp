#include "framework/core/crashreport.h"
#include "framework/core/error.h"
#include "framework/core/random.h"
#include "framework/core/result.h"
#include "framework/core/text.h"

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>

using namespace sapphiremoor;

TEST_CASE("an error names its kind, message and remedy") {
  const Error Err{ErrorKind::BadJson, "line 3", "add a comma"};
  CHECK(describe(Err) == "bad_json: line 3 (add a comma)");
}

TEST_CASE("each kind of error is found by its name") {
  CHECK(parseErrorKind("bad_request") == ErrorKind::BadRequest);
  CHECK(parseErrorKind("not_leader") == ErrorKind::NotLeader);
  CHECK(parseErrorKind("no such kind") == ErrorKind::Internal);
}

TEST_CASE("a misspelt name is matched, an unrelated one is not") {
  const std::vector<std::string> Known{"idempotent", "weight", "declared_ms"};
  CHECK(nearestName("idempotant", Known) == "idempotent");
  CHECK(nearestName("wieght", Known) == "weight");
  CHECK_FALSE(nearestName("colour", Known).has_value());
  CHECK_FALSE(nearestName("x", {}).has_value());
}

TEST_CASE("secure random values differ") {
  CHECK(secureRandom64() != secureRandom64());
}

// Guards against a process that ends by a memory fault without a trace.
TEST_CASE(
    "a memory fault leaves its signal and a backtrace on standard error") {
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  const pid_t Child = fork();
  if (Child == 0) {
    dup2(Pipe[1], STDERR_FILENO);
    installCrashReport();
    std::raise(SIGSEGV);
    _exit(0);
  }
  close(Pipe[1]);
  std::string Output;
  std::array<char, 4096> Buffer{};
  ssize_t ReadBytes = 0;
  while ((ReadBytes = read(Pipe[0], Buffer.data(), Buffer.size())) > 0)
    Output.append(Buffer.data(), static_cast<std::size_t>(ReadBytes));
  close(Pipe[0]);
  int Status = 0;
  REQUIRE(waitpid(Child, &Status, 0) == Child);
  CHECK(WIFSIGNALED(Status));
  CHECK(WTERMSIG(Status) == SIGSEGV);
  CHECK(Output.starts_with("fatal signal 11 at address 0x"));
  CHECK(std::ranges::count(Output, '\n') > 2);
}
