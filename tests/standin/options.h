#ifndef SAPPHIREMOOR_TESTS_STANDIN_OPTIONS_H
#define SAPPHIREMOOR_TESTS_STANDIN_OPTIONS_H

#include "framework/core/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor::standin {

/// How the stand-in answers its tasks.
enum class Mode {
  Fixed,   ///< each task takes --run-ms
  Slow,    ///< each task takes --slow-ms
  Failing, ///< each task is answered with 500 at once
  Silent,  ///< tasks are accepted and never answered
  Leaving, ///< like Fixed, but leaves after --leave-after tasks
};

/// Address and port that a server listens on.
struct Endpoint {
  std::string Address;
  uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Command-line options of a stand-in.
struct Options {
  std::string Address = "127.0.0.1";
  uint16_t Port = 0;           ///< 0: any free port
  uint16_t AdvertisedPort = 0; ///< 0: the port that it listens on
  std::string Id = "backend";
  std::string Worker = "worker";
  std::string Rack = "rack";
  std::vector<std::string> Services{"service"};
  unsigned Slots = 8;
  std::vector<Endpoint> AnnounceTargets; ///< empty: it does not announce itself
  std::string Token;
  Mode TaskMode = Mode::Fixed;
  std::chrono::milliseconds RunTime{100};
  std::chrono::milliseconds SlowRunTime{2000};
  unsigned LeaveAfterTasks = 10;
  std::string CountsFile; ///< empty: starts are only counted in memory
};

/// Parses "HOST:PORT". Returns BadRequest if \p Text has another form.
Result<Endpoint> parseEndpoint(const std::string &Text);

/// Parses the command line. If the program has to end, prints an error message
/// or the help text and returns the exit code instead.
std::variant<Options, int> parseOptions(int ArgumentCount,
                                        const char *const *Arguments);

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_OPTIONS_H
