#ifndef SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H
#define SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H

#include <cstdint>
#include <string>

namespace sapphiremoor::bench {

/// Runs a backend server that answers each task at once. It does not announce
/// itself; the benchmark does. A GET of any path returns the number of tasks
/// started so far. Returns an exit code if it cannot listen.
int runNullBackend(const std::string &Address, uint16_t Port);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H
