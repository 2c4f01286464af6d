#ifndef SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H
#define SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H

#include <cstdint>
#include <string>

namespace sapphiremoor::bench {

/// A backend server that answers each task at once; it is announced by the
/// benchmark. A GET of any path is answered with the number of tasks that it
/// has started. Returns an exit code if it cannot listen.
int runNullBackend(const std::string &Address, uint16_t Port);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_NULLBACKEND_H
