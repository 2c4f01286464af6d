#include "framework/statechart/chart.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace sapphiremoor;

namespace {

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::vector<std::filesystem::path> allCharts() {
  std::vector<std::filesystem::path> Paths;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(SOURCE_FOLDER))
    if (Entry.path().parent_path().filename() == "charts" &&
        Entry.path().extension() == ".json")
      Paths.push_back(Entry.path());
  return Paths;
}

/// Returns all actions of the chart, as if they were implemented. The module
/// that uses a chart checks that they are.
std::vector<std::string> actionNames(const Chart &StateChart) {
  std::vector<std::string> Names;
  for (ActionId Action = 0; Action < StateChart.actionCount(); ++Action)
    Names.push_back(StateChart.actionName(Action));
  return Names;
}

} // namespace

// Guards against a faulty chart in the repository that no other test checks.
TEST_CASE("all charts in the repository are free of faults") {
  const auto Paths = allCharts();
  CHECK(Paths.size() >= 4);
  for (const auto &Path : Paths) {
    CAPTURE(Path.string());
    const auto Parsed = parseChart(readFile(Path));
    if (isError(Parsed)) {
      FAIL_CHECK(describe(errorOf(Parsed)));
      continue;
    }
    for (const Error &Fault :
         checkChart(valueOf(Parsed), actionNames(valueOf(Parsed))))
      FAIL_CHECK(describe(Fault));
  }
}
