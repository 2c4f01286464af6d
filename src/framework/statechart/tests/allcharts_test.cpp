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
  std::vector<std::filesystem::path> Found;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(SOURCE_FOLDER))
    if (Entry.path().parent_path().filename() == "charts" &&
        Entry.path().extension() == ".json")
      Found.push_back(Entry.path());
  return Found;
}

/// The module that runs a chart checks that its actions are implemented.
std::vector<std::string> ownActions(const Chart &Of) {
  std::vector<std::string> Names;
  for (ActionId Action = 0; Action < Of.actionCount(); ++Action)
    Names.push_back(Of.actionName(Action));
  return Names;
}

} // namespace

// Guards against a chart in the repository that no test looks at.
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
         checkChart(valueOf(Parsed), ownActions(valueOf(Parsed))))
      FAIL_CHECK(describe(Fault));
  }
}
