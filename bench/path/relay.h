#ifndef SAPPHIREMOOR_BENCH_PATH_RELAY_H
#define SAPPHIREMOOR_BENCH_PATH_RELAY_H

#include "framework/core/types/endpoint.h"

namespace sapphiremoor::bench {

/// Runs the bare evhttp forwarder that the daemon is compared with. It only
/// forwards each request to one backend server over pooled connections and
/// returns the answer. Returns an exit code if it cannot listen.
int runRelay(const Endpoint &ListenEndpoint, const Endpoint &Backend);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_RELAY_H
