#include "leases/parseannouncement.h"

#include "framework/statechart/chart.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace sapphiremoor::charts {
extern const char *const BackendChart;
} // namespace sapphiremoor::charts

namespace {

constexpr std::string_view ValidText =
    R"({"address":"10.0.0.7","port":9000,"worker":"w1","rack":"r1",)"
    R"("services":["quote","check"],"slots":8,"running":0})";

/// Returns the kind of error for the valid text with \p OldText replaced by \p
/// NewText.
ErrorKind announcementErrorKind(std::string_view OldText,
                                std::string_view NewText) {
  std::string Text(ValidText);
  const std::size_t Position = Text.find(OldText);
  REQUIRE(Position != std::string::npos);
  const auto Parsed =
      parseAnnouncement("b", Text.replace(Position, OldText.size(), NewText));
  REQUIRE(isError(Parsed));
  return errorOf(Parsed).Kind;
}

} // namespace

TEST_CASE("an announcement is parsed") {
  const auto Parsed = parseAnnouncement("b-1.x_2", ValidText);
  CHECK(valueOf(Parsed) ==
        Announcement{
            "b-1.x_2", "10.0.0.7", 9000, "w1", "r1", {"check", "quote"}, 8, 0});
}

// Each check guards against accepting one kind of invalid value.
TEST_CASE("invalid announcements return specific errors") {
  CHECK(announcementErrorKind("}", "") == ErrorKind::BadJson);
  CHECK(announcementErrorKind(ValidText, "[]") == ErrorKind::BadJson);
  CHECK(announcementErrorKind(ValidText, std::string(20000, '[')) ==
        ErrorKind::TooLarge);
  CHECK(announcementErrorKind(R"("rack":"r1",)", "") == ErrorKind::MissingKey);
  CHECK(announcementErrorKind(R"("slots":8)", R"("slots":0)") ==
        ErrorKind::OutOfRange);
  CHECK(announcementErrorKind(R"("slots":8)", R"("slots":1025)") ==
        ErrorKind::OutOfRange);
  CHECK(announcementErrorKind(R"("slots":8)", R"("slots":8.5)") ==
        ErrorKind::BadRequest);
  CHECK(announcementErrorKind("9000", "0") == ErrorKind::OutOfRange);
  CHECK(announcementErrorKind("9000", "65536") == ErrorKind::OutOfRange);
  CHECK(announcementErrorKind("9000", "18446744073709551615") ==
        ErrorKind::OutOfRange);
  CHECK(announcementErrorKind(R"("running":0)", R"("running":-1)") ==
        ErrorKind::OutOfRange);
  CHECK(announcementErrorKind("10.0.0.7", "localhost") ==
        ErrorKind::BadRequest);
  CHECK(announcementErrorKind("10.0.0.7", "10.0.0.7\\u0000x") ==
        ErrorKind::BadRequest);
  CHECK(announcementErrorKind(R"("w1")", R"("w 1")") == ErrorKind::BadRequest);
  CHECK(announcementErrorKind(R"(["quote","check"])", "[]") ==
        ErrorKind::OutOfRange);
  CHECK(announcementErrorKind(R"("check")", R"("quote")") ==
        ErrorKind::Contradiction);
  CHECK(announcementErrorKind(R"("check")", "7") == ErrorKind::BadRequest);
}

// Guards against identifiers that would be invalid in a path, a log line or a
// label.
TEST_CASE("identifiers are limited in length and characters") {
  CHECK_FALSE(isError(checkBackendId(std::string(64, 'a'))));
  for (const std::string &BadId :
       {std::string(), std::string(65, 'a'), std::string("a/b"),
        std::string("a\nb"), std::string("\xc3\xa9")})
    CHECK(errorOf(parseAnnouncement(BadId, ValidText)).Kind ==
          ErrorKind::BadRequest);
}

// Guards against ignoring a misspelt field.
TEST_CASE("an unknown field is reported with the nearest known one") {
  std::string Text(ValidText);
  Text.replace(Text.find("slots"), 5, "slot");
  const auto Parsed = parseAnnouncement("b", Text);
  CHECK(errorOf(Parsed).Kind == ErrorKind::UnknownSetting);
  CHECK(errorOf(Parsed).Remedy == "did you mean 'slots'?");
}

// Guards against an action in the chart that the code does not implement.
TEST_CASE("the life cycle uses only actions that the code implements") {
  const auto Machine = parseChart(charts::BackendChart);
  CHECK(checkChart(valueOf(Machine),
                   {"start_lease", "extend_lease", "start_hold"})
            .empty());
}
