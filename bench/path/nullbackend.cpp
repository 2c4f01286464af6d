#include "nullbackend.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <string>

namespace sapphiremoor::bench {

namespace {

void answerRequest(evhttp_request *Request, void *Counter) {
  auto &Starts = *static_cast<uint64_t *>(Counter);
  std::string Body = R"({"done":true})";
  if (evhttp_request_get_command(Request) == EVHTTP_REQ_GET)
    Body = std::to_string(Starts);
  else
    ++Starts;
  evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
               Body.size());
  evhttp_add_header(evhttp_request_get_output_headers(Request), "Content-Type",
                    "application/json");
  evhttp_send_reply(Request, 200, nullptr, nullptr);
}

} // namespace

int runNullBackend(const std::string &Address, uint16_t Port) {
  event_base *Base = event_base_new();
  evhttp *Http = evhttp_new(Base);
  uint64_t Starts = 0;
  evhttp_set_gencb(Http, answerRequest, &Starts);
  const bool Bound = evhttp_bind_socket(Http, Address.c_str(), Port) == 0;
  if (Bound)
    event_base_dispatch(Base);
  evhttp_free(Http);
  event_base_free(Base);
  return Bound ? 0 : 1;
}

} // namespace sapphiremoor::bench
