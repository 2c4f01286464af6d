#ifndef SAPPHIREMOOR_BENCH_PATH_LOAD_H
#define SAPPHIREMOOR_BENCH_PATH_LOAD_H

#include "framework/net/httpcall.h"

#include <functional>
#include <string>
#include <vector>

namespace sapphiremoor::bench {

/// What a closed loop of requests reached.
struct LoadResult {
  uint64_t Succeeded = 0;
  uint64_t Failed = 0;
  /// Successes including those that arrived after the measured time.
  uint64_t SucceededInTotal = 0;
  double Seconds = 0;
  /// Body of the last answer other than a success, to explain failures.
  std::string LastFailure;
};

/// Makes the next request of a connection.
using RequestMaker = std::function<HttpCallRequest()>;
/// Returns true if an answer is a success.
bool succeeded(const HttpCallResult &Answer);

/// Keeps one request in flight on each of \p ConnectionCount connections to \p
/// Target for \p LoadDuration.
LoadResult runLoad(EventLoop &Loop, const Endpoint &Target, int ConnectionCount,
                   Duration LoadDuration, const RequestMaker &MakeRequest);

/// Sends one request on \p Connection and returns the time to its answer in
/// microseconds; throws std::runtime_error unless it succeeded.
double timeCall(EventLoop &Loop, HttpConnection &Connection,
                const HttpCallRequest &Request);

/// Returns the value at \p Fraction of the sorted \p Values.
double quantile(std::vector<double> Values, double Fraction);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_LOAD_H
