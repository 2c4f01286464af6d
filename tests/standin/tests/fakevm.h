#ifndef SAPPHIREMOOR_TESTS_STANDIN_TESTS_FAKEVM_H
#define SAPPHIREMOOR_TESTS_STANDIN_TESTS_FAKEVM_H

#include "../handles.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor::standin {

/// A fake entry VM that records each request and always gives the same answer.
class FakeVm {
public:
  explicit FakeVm(event_base *Base) : Base(Base), Http(evhttp_new(Base)) {
    evhttp_set_allowed_methods(Http.get(), EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(Http.get(), onRequest, this);
    auto *Socket = evhttp_bind_socket_with_handle(Http.get(), "127.0.0.1", 0);
    sockaddr_in Address{};
    socklen_t Size = sizeof(Address);
    getsockname(evhttp_bound_socket_get_fd(Socket),
                reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
  }

  uint16_t Port = 0;
  int StatusCode = 200;
  std::string Answer = R"({"next_ms":20})";
  std::size_t StopAfterRequests = 1; ///< the loop ends after this many requests
  std::vector<std::string> RequestLines; ///< "METHOD path token"
  std::vector<std::string> Bodies;

private:
  static void onRequest(evhttp_request *Request, void *Self) {
    static_cast<FakeVm *>(Self)->handleRequest(Request);
  }

  void handleRequest(evhttp_request *Request) {
    const bool IsPost = evhttp_request_get_command(Request) == EVHTTP_REQ_POST;
    const char *Token = evhttp_find_header(
        evhttp_request_get_input_headers(Request), "Authorization");
    RequestLines.push_back(std::string(IsPost ? "POST " : "DELETE ") +
                           evhttp_request_get_uri(Request) + " " +
                           (Token == nullptr ? "" : Token));
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    std::string Body(evbuffer_get_length(Input), '\0');
    evbuffer_copyout(Input, Body.data(), Body.size());
    Bodies.push_back(Body);
    evbuffer *Output = evhttp_request_get_output_buffer(Request);
    evbuffer_add(Output, Answer.data(), Answer.size());
    evhttp_send_reply(Request, StatusCode, nullptr, nullptr);
    if (RequestLines.size() >= StopAfterRequests)
      event_base_loopbreak(Base);
  }

  event_base *Base;
  HttpHandle Http;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_TESTS_FAKEVM_H
