#ifndef SAPPHIREMOOR_BENCH_PATH_LOAD_H
#define SAPPHIREMOOR_BENCH_PATH_LOAD_H

#include "framework/net/httpcall.h"

#include <functional>
#include <string>
#include <vector>

namespace sapphiremoor::bench {

/// The result of a closed loop of requests.
struct LoadResult {
  uint64_t Succeeded = 0;
  uint64_t Failed = 0;
  /// Successful requests, including those answered after the measured time.
  uint64_t SucceededInTotal = 0;
  double Seconds = 0;
  /// Status code and body of the last unsuccessful answer.
  std::string LastFailure;
};

/// Creates the next request to send on a connection.
using RequestMaker = std::function<HttpCallRequest()>;
/// Returns true if an answer arrived and its status code is 200.
bool succeeded(const HttpCallResult &Answer);

/// Keeps one request in flight on each of \p ConnectionCount connections to
/// \p Target for \p LoadDuration, then waits for the last answers.
LoadResult runLoad(EventLoop &Loop, const Endpoint &Target, int ConnectionCount,
                   Duration LoadDuration, const RequestMaker &MakeRequest);

/// Sends one request on \p Connection and returns the time to its answer in
/// microseconds. Throws std::runtime_error unless the request succeeded.
double timeCall(EventLoop &Loop, HttpConnection &Connection,
                const HttpCallRequest &Request);

/// Returns the quantile \p Fraction (0 to 1) of \p Values.
double quantile(std::vector<double> Values, double Fraction);

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_LOAD_H
