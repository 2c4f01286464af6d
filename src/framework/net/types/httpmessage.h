#ifndef SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H
#define SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor {

enum class HttpMethod { Get, Post, Put, Delete, Other };

/// A received HTTP request with its whole body.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Other;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// The bearer token of the Authorization header, or empty.
  std::string Token;
  std::string Body;
  /// The Host header without its port, or empty.
  std::string Host = {};
  /// Values of the headers in HttpLimits::KeptHeaders, by header name.
  std::map<std::string, std::string> Headers = {};
};

/// A response with its whole body.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Further headers, such as Retry-After.
  std::vector<std::pair<std::string, std::string>> Headers = {};
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H
