#include "servicelevel/burn.h"
#include "servicelevel/outcomes.h"
#include "servicelevel/render.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

constexpr Duration FastLatency = std::chrono::milliseconds(100);
constexpr Minute Now = 10'000;

/// Returns a configuration with one service: 99.9 % availability and 95 %
/// within 250 ms.
ServiceConfig makeConfig(const std::string &Service) {
  ServiceConfig Config;
  Config.Services[Service].Objectives = {0.999, std::chrono::milliseconds(250),
                                         0.95};
  return Config;
}

void record(ServiceLevelState &State, RequestOutcome Outcome, int Count,
            Minute Time, const std::string &Team = "sales") {
  for (int I = 0; I < Count; ++I)
    recordOutcome(State, "quote", Team, Outcome, FastLatency, Time);
}

/// Returns the requests of one minute: 1,000 answered, 4 of them lost.
ServiceLevelState sampleState() {
  ServiceLevelState State;
  record(State, RequestOutcome::Good, 896, Now);
  record(State, RequestOutcome::Slow, 100, Now);
  record(State, RequestOutcome::Failed, 3, Now);
  record(State, RequestOutcome::Unknown, 1, Now);
  record(State, RequestOutcome::Refused, 50, Now);
  return State;
}

BurnRow onlyRow(const ServiceLevelState &State, Minute Time = Now) {
  const BurnReport Report = buildReport(State, makeConfig("quote"), Time);
  REQUIRE(Report.Rows.size() == 1);
  return Report.Rows.front();
}

} // namespace

// 4 of 1,000 requests are lost where 1 is allowed; 100 of 996 are slow where
// 49.8 are allowed. Guards against refusals that use the error budget.
TEST_CASE("burn rates equal those computed by hand") {
  const BurnRow Row = onlyRow(sampleState());
  for (const OutcomeCounts &Counts : Row.Windows) {
    CHECK(Counts == OutcomeCounts{896, 100, 3, 50, 1, 99'600'000});
    CHECK(availabilityBurn(Counts, Row.Objectives) == doctest::Approx(4));
    CHECK(latencyBurn(Counts, Row.Objectives) == doctest::Approx(100 / 49.8));
  }
  CHECK(availabilityBudgetLeft(Row) == doctest::Approx(-3));
  CHECK(latencyBudgetLeft(Row) == doctest::Approx(1 - 100 / 49.8));
  CHECK(availabilityBurn({}, Row.Objectives) == 0);
  CHECK(latencyBurn({}, Row.Objectives) == 0);
}

// Guards against windows that are one minute too long or too short.
TEST_CASE("each window counts exactly the minutes of its length") {
  ServiceLevelState State;
  for (Minute Age = 0; Age < 5000; ++Age)
    record(State, RequestOutcome::Good, 1, Now - 4999 + Age);
  const BurnRow Row = onlyRow(State);
  CHECK(Row.Windows[0].Good == 5);
  CHECK(Row.Windows[1].Good == 60);
  CHECK(Row.Windows[2].Good == 360);
  CHECK(Row.Windows[3].Good == 4320);
  const BurnRow Later = onlyRow(State, Now + 3);
  CHECK(Later.Windows[0].Good == 2);
  CHECK(Later.Windows[3].Good == 4317);
  CHECK(onlyRow(State, Now - 1).Windows[0].Good == 5);
}

TEST_CASE(
    "buckets cover at most 3 days and late counts are inserted in order") {
  ServiceLevelState State;
  for (Minute Time = 1; Time <= Now; ++Time)
    record(State, RequestOutcome::Good, 1, Time);
  const auto &Buckets = State.Series.begin()->second;
  CHECK(Buckets.size() == 4320);
  CHECK(Buckets.front().Time == Now - 4319);
  record(State, RequestOutcome::Failed, 1, Now - 4320);
  record(State, RequestOutcome::Failed, 1, Now - 4319);
  record(State, RequestOutcome::Failed, 1, Now - 1);
  CHECK(Buckets.size() == 4320);
  CHECK(onlyRow(State).Windows[3].Failed == 2);
  CHECK(onlyRow(State).Windows[0].Failed == 1);
  ServiceLevelState Sparse;
  record(Sparse, RequestOutcome::Good, 1, 20);
  record(Sparse, RequestOutcome::Good, 1, 10);
  record(Sparse, RequestOutcome::Good, 1, 15);
  const auto &Sorted = Sparse.Series.begin()->second;
  REQUIRE(Sorted.size() == 3);
  CHECK(Sorted[0].Time == 10);
  CHECK(Sorted[1].Time == 15);
}

// Guards against memory use that grows with the number of teams.
TEST_CASE("teams beyond the series limit are counted together") {
  ServiceLevelState State;
  for (std::size_t I = 0; I < MaxSeries + 10; ++I)
    record(State, RequestOutcome::Good, 1, Now, "t" + std::to_string(I));
  CHECK(State.Series.size() == MaxSeries + 1);
  CHECK(State.Series.at({"quote", OtherTeams}).front().Good == 10);
  CHECK(serviceTotals(buildReport(State, makeConfig("quote"), Now))
            .front()
            .Windows[0]
            .Good == MaxSeries + 10);
}

TEST_CASE("latency is classified by the objective and minutes by the clock") {
  const Objectives Objective{0.999, FastLatency, 0.95};
  CHECK(classifyLatency(Objective, FastLatency) == RequestOutcome::Good);
  CHECK(classifyLatency(Objective, FastLatency + Duration(1)) ==
        RequestOutcome::Slow);
  CHECK(toMinute(instantAt(std::chrono::seconds(119))) == 1);
  CHECK(toMinute(instantAt(std::chrono::seconds(120))) == 2);
}

TEST_CASE("reports of several VMs add up") {
  BurnReport First = buildReport(sampleState(), makeConfig("quote"), Now);
  First.Vms = {"vm2"};
  ServiceLevelState Other;
  record(Other, RequestOutcome::Good, 1000, Now, "stores");
  record(Other, RequestOutcome::Good, 1000, Now);
  BurnReport Second = buildReport(Other, makeConfig("quote"), Now);
  Second.Vms = {"vm1"};
  BurnReport Idle = buildReport({}, makeConfig("quote"), Now);
  Idle.Vms = {"vm3"};
  REQUIRE(Idle.Rows.size() == 1);

  const BurnReport Sum = mergeReports({First, Idle, Second});
  CHECK(Sum.Vms == std::vector<std::string>{"vm1", "vm2", "vm3"});
  REQUIRE(Sum.Rows.size() == 2);
  CHECK(Sum.Rows[0].Team == "sales");
  CHECK(Sum.Rows[0].Windows[2].Good == 1896);
  // 4 of 2,000 requests are lost where 2 are allowed; over both teams 4 of
  // 3,000.
  CHECK(availabilityBudgetLeft(Sum.Rows[0]) == doctest::Approx(-1));
  CHECK(availabilityBudgetLeft(serviceTotals(Sum).front()) ==
        doctest::Approx(1 - 4 / 3.0));
  CHECK(buildReport(sampleState(), makeConfig("other"), Now).Rows.size() == 1);
}

TEST_CASE("the table shows burn rates, budgets and refusals") {
  const std::string Table =
      renderTable(buildReport(sampleState(), makeConfig("quote"), Now));
  const std::string Expected =
      "service  team   objective          5 min   1 h   6 h   3 d  budget left"
      "  bad    of  refused\n"
      "quote    (all)  99.9% succeed       4.00  4.00  4.00  4.00      -300.0%"
      "    4  1000       50\n"
      "                95% within 250 ms   2.01  2.01  2.01  2.01      -100.8%"
      "  100   996\n"
      "quote    sales  99.9% succeed       4.00  4.00  4.00  4.00      -300.0%"
      "    4  1000       50\n";
  CHECK(Table.substr(Table.find('\n') + 1, Expected.size()) == Expected);
  const std::string Idle =
      renderTable(buildReport({}, makeConfig("quote"), Now));
  CHECK(Idle.find("succeed          -    -    -    -") != std::string::npos);
}

TEST_CASE("a report survives a JSON round trip and invalid JSON is rejected") {
  BurnReport Report = buildReport(sampleState(), makeConfig("quote"), Now);
  Report.Vms = {"vm1"};
  const std::string Json = renderJson(Report);
  CHECK(valueOf(parseReport(Json)) == Report);
  CHECK(Json.find("\"mean_ms\": 100.0") != std::string::npos);
  const auto CheckBad = [&Json](const std::string &OldText,
                                const std::string &NewText) {
    std::string Text = Json;
    const auto Result =
        parseReport(Text.replace(Text.find(OldText), OldText.size(), NewText));
    REQUIRE(isError(Result));
    CHECK(errorOf(Result).Kind == ErrorKind::BadJson);
  };
  CheckBad("\"vms\"", "\"vm\"");
  CheckBad("\"good\": 896", "\"good\": -1");
  CheckBad("\"good\": 896", "\"good\": 1e300");
  CheckBad("\"availability\": 0.999", "\"availability\": 1");
  CheckBad("\"latency_ms\": 250.0", "\"latency_ms\": 1e300");
  CheckBad("{", "");
}

TEST_CASE(
    "the plot shows each service, escapes names and bounds their number") {
  ServiceConfig Config = makeConfig("quote");
  Config.Services["a<b&\"c\">"] = {};
  const std::string Svg = renderSvg(buildReport(sampleState(), Config, Now));
  CHECK(Svg.find("<title>quote, 5 min: 4.00</title>") != std::string::npos);
  CHECK(Svg.find("a&lt;b&amp;&quot;c&quot;&gt;") != std::string::npos);
  CHECK(Svg.find("a<b") == std::string::npos);
  for (int I = 0; I < 20; ++I)
    Config.Services["s" + std::to_string(I)] = {};
  const std::string Many = renderSvg(buildReport(sampleState(), Config, Now));
  CHECK(Many.find("14 more not shown") != std::string::npos);
  CHECK(Many.find(">quote</text>") != std::string::npos);
  CHECK(renderSvg({}).find("no service") != std::string::npos);
}
