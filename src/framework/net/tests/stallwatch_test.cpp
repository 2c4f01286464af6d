#include "framework/net/stallwatch.h"

#include <doctest/doctest.h>

#include <thread>

using namespace sapphiremoor;

// Guards against a process that acts on outdated input after a pause.
TEST_CASE("a pause is reported once, before the process acts on input") {
  EventLoop Loop;
  int Stalls = 0;
  StallWatch Watch(Loop, std::chrono::milliseconds(100), [&] { ++Stalls; });
  CHECK_FALSE(Watch.check());
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  CHECK(Watch.check());
  CHECK_FALSE(Watch.check());
  CHECK(Stalls == 1);
}
