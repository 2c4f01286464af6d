#ifndef SAPPHIREMOOR_BENCH_PATH_LOAD_H
#define SAPPHIREMOOR_BENCH_PATH_LOAD_H

#include "framework/net/httpcall.h"

#include <functional>
#include <string>
#include <vector>

namespace sapphiremoor::bench {

/// What a closed loop of requests reached.
struct LoadResult {
  uint64_t Answered = 0;
  uint64_t Failed = 0;
  /// Successes including those that arrived after the measured time.
  uint64_t AnsweredInAll = 0;
  double Seconds = 0;
  /// Body of the last answer other than a success, to explain failures.
  std::string LastFailure;
};

/// Makes the next request of a connection.
using RequestMaker = std::function<HttpCallRequest()>;
/// Returns true if an answer is a success.
bool succeeded(const HttpCallResult &Answer);

/// Keeps one request in flight on each of \p Connections connections to \p To
/// for \p Time.
LoadResult runLoad(EventLoop &Loop, const Endpoint &To, int Connections,
                   Duration Time, const RequestMaker &Make);

/// Sends one request on \p Link and returns the time to its answer in
/// microseconds; throws std::runtime_error unless it succeeded.
double timedCall(EventLoop &Loop, HttpConnection &Link,
                 const HttpCallRequest &Request);

/// Returns the value at \p Share of the sorted \p Values.
double quantile(std::vector<double> Values, double Share);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_LOAD_H
