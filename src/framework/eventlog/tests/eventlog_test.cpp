#include "framework/eventlog/eventlog.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace sapphiremoor;

TEST_CASE("an event is one JSON line even when a value holds a line break") {
  const std::string Line = formatEvent(events::JobDecided, {"a1", "trencin"},
                                       {{"key", "x\ny\"\xff"}});
  CHECK(Line.find('\n') == std::string::npos);
  CHECK(Line.starts_with(
      R"({"event":400,"name":"job_decided","level":"info","vm":"a1")"));
}

TEST_CASE("event numbers are unique and catalogued in docs/events.md") {
  std::ifstream File(CATALOGUE_FILE);
  const std::string Catalogue{std::istreambuf_iterator<char>(File), {}};
  CHECK(std::ranges::is_sorted(allEvents(), std::ranges::less_equal{},
                               &Event::Number));
  for (const Event &LoggedEvent : allEvents()) {
    const std::string Row = "| " + std::to_string(LoggedEvent.Number) + " | `" +
                            std::string(LoggedEvent.Name) + "` |";
    CHECK_MESSAGE(Catalogue.find(Row) != std::string::npos, Row);
  }
}
