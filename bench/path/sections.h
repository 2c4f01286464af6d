#ifndef SAPPHIREMOOR_BENCH_PATH_SECTIONS_H
#define SAPPHIREMOOR_BENCH_PATH_SECTIONS_H

namespace sapphiremoor::bench {

/// Task starts a second through one VM against the bare forwarder.
void printThroughput();

/// Response times of sequential requests on an idle system.
void printResponse();

/// Control cost of idle daemons and the time until a configuration change is
/// in force.
void printControl();

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_SECTIONS_H
