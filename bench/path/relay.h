#ifndef SAPPHIREMOOR_BENCH_PATH_RELAY_H
#define SAPPHIREMOOR_BENCH_PATH_RELAY_H

#include "framework/core/types/endpoint.h"

namespace sapphiremoor::bench {

/// The bare evhttp forwarder that the daemon is compared with: it sends each
/// request to one backend server over pooled connections and passes the answer
/// on, with nothing else done. Returns an exit code if it cannot listen.
int runRelay(const Endpoint &ListenEndpoint, const Endpoint &Backend);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_RELAY_H
