#include "framework/eventlog/linebudget.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

// Guards against a log that grows with the load, and against a gap in it that
// is not reported.
TEST_CASE("lines over the limit of a second are counted and reported later") {
  LineBudget Budget(3);
  for (int Line = 0; Line < 3; ++Line)
    CHECK(Budget.admit(10));
  CHECK_FALSE(Budget.admit(10));
  CHECK_FALSE(Budget.admit(10));
  CHECK(Budget.takeDropped(10) == 0);
  CHECK(Budget.takeDropped(11) == 2);
  CHECK(Budget.admit(11));
  CHECK(Budget.takeDropped(12) == 0);
}

// Guards against lines that are lost to a slow reader without being counted.
TEST_CASE("lines that could not be written are counted too") {
  LineBudget Budget(3);
  CHECK(Budget.admit(10));
  Budget.countDropped(1);
  CHECK(Budget.takeDropped(11) == 1);
}
