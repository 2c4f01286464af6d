#include "leases/parseannouncement.h"

#include "framework/statechart/chart.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace sapphiremoor::charts {
extern const char *const BackendChart;
} // namespace sapphiremoor::charts

namespace {

constexpr std::string_view Good =
    R"({"address":"10.0.0.7","port":9000,"worker":"w1","rack":"r1",)"
    R"("services":["quote","check"],"slots":8,"running":0})";

/// Returns the kind of error for the text with \p From replaced by \p To.
ErrorKind kindWith(std::string_view From, std::string_view To) {
  std::string Text(Good);
  const std::size_t Place = Text.find(From);
  REQUIRE(Place != std::string::npos);
  const auto Parsed =
      parseAnnouncement("b", Text.replace(Place, From.size(), To));
  REQUIRE(isError(Parsed));
  return errorOf(Parsed).Kind;
}

} // namespace

TEST_CASE("an announcement is parsed") {
  const auto Parsed = parseAnnouncement("b-1.x_2", Good);
  CHECK(valueOf(Parsed) ==
        Announcement{
            "b-1.x_2", "10.0.0.7", 9000, "w1", "r1", {"check", "quote"}, 8, 0});
}

// Each line guards against one kind of bad value that enters the table.
TEST_CASE("bad announcements give typed errors") {
  CHECK(kindWith("}", "") == ErrorKind::BadJson);
  CHECK(kindWith(Good, "[]") == ErrorKind::BadJson);
  CHECK(kindWith(Good, std::string(20000, '[')) == ErrorKind::TooLarge);
  CHECK(kindWith(R"("rack":"r1",)", "") == ErrorKind::MissingKey);
  CHECK(kindWith(R"("slots":8)", R"("slots":0)") == ErrorKind::OutOfRange);
  CHECK(kindWith(R"("slots":8)", R"("slots":1025)") == ErrorKind::OutOfRange);
  CHECK(kindWith(R"("slots":8)", R"("slots":8.5)") == ErrorKind::BadRequest);
  CHECK(kindWith("9000", "0") == ErrorKind::OutOfRange);
  CHECK(kindWith("9000", "65536") == ErrorKind::OutOfRange);
  CHECK(kindWith("9000", "18446744073709551615") == ErrorKind::OutOfRange);
  CHECK(kindWith(R"("running":0)", R"("running":-1)") == ErrorKind::OutOfRange);
  CHECK(kindWith("10.0.0.7", "localhost") == ErrorKind::BadRequest);
  CHECK(kindWith("10.0.0.7", "10.0.0.7\\u0000x") == ErrorKind::BadRequest);
  CHECK(kindWith(R"("w1")", R"("w 1")") == ErrorKind::BadRequest);
  CHECK(kindWith(R"(["quote","check"])", "[]") == ErrorKind::OutOfRange);
  CHECK(kindWith(R"("check")", R"("quote")") == ErrorKind::Contradiction);
  CHECK(kindWith(R"("check")", "7") == ErrorKind::BadRequest);
}

// Guards against identifiers that would break a path, a log line or a label.
TEST_CASE("identifiers are limited in length and characters") {
  CHECK_FALSE(isError(checkBackendId(std::string(64, 'a'))));
  for (const std::string &Bad :
       {std::string(), std::string(65, 'a'), std::string("a/b"),
        std::string("a\nb"), std::string("\xc3\xa9")})
    CHECK(errorOf(parseAnnouncement(Bad, Good)).Kind == ErrorKind::BadRequest);
}

// Guards against a misspelt field that is silently ignored.
TEST_CASE("an unknown field is named with the nearest known one") {
  std::string Text(Good);
  Text.replace(Text.find("slots"), 5, "slot");
  const auto Parsed = parseAnnouncement("b", Text);
  CHECK(errorOf(Parsed).Kind == ErrorKind::UnknownSetting);
  CHECK(errorOf(Parsed).Remedy == "did you mean 'slots'?");
}

// Guards against an action in the chart that the table does not perform.
TEST_CASE("the life cycle uses only actions that the table performs") {
  const auto Machine = parseChart(charts::BackendChart);
  CHECK(checkChart(valueOf(Machine),
                   {"start_lease", "extend_lease", "start_hold"})
            .empty());
}
