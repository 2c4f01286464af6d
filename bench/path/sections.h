#ifndef SAPPHIREMOOR_BENCH_PATH_SECTIONS_H
#define SAPPHIREMOOR_BENCH_PATH_SECTIONS_H

namespace sapphiremoor::bench {

/// Prints the task starts per second through one VM, beside those through the
/// bare forwarder.
void printThroughput();

/// Prints the response times of sequential requests on an idle system.
void printResponse();

/// Prints the resources that idle daemons use and the time until a
/// configuration change is in force.
void printControl();

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_SECTIONS_H
