#ifndef SAPPHIREMOOR_BENCH_PATH_PROCSTAT_H
#define SAPPHIREMOOR_BENCH_PATH_PROCSTAT_H

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace sapphiremoor::bench {

/// Returns the id of the child process whose command line contains \p Argument,
/// or -1.
pid_t findChild(const std::string &Argument);

/// Returns the processor time of all threads of \p Pid, in seconds. It is read
/// from schedstat, because stat has a resolution of only 10 ms.
double processorSeconds(pid_t Pid);

/// Returns the resident memory of \p Pid in MB (10^6 bytes).
double residentMegabytes(pid_t Pid);

/// Returns the bytes sent and received so far by the open TCP connections of
/// \p Pid whose local or remote port is \p Port, as `ss` reports them.
uint64_t connectionBytes(pid_t Pid, uint16_t Port);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_PROCSTAT_H
