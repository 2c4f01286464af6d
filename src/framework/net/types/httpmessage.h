#ifndef SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H
#define SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H

#include <map>
#include <string>

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
};

/// A response with its whole body.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_TYPES_HTTPMESSAGE_H
