#include "relay.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <vector>

namespace sapphiremoor::bench {

namespace {

struct Relay {
  event_base *Base;
  Endpoint Backend;
  std::vector<evhttp_connection *> Idle;
};

/// One request that awaits the answer of the backend server.
struct Forwarded {
  Relay *Owner;
  evhttp_request *Incoming;
  evhttp_connection *Used;
};

evhttp_connection *takeConnection(Relay &Owner) {
  if (Owner.Idle.empty())
    return evhttp_connection_base_new(
        Owner.Base, nullptr, Owner.Backend.Address.c_str(), Owner.Backend.Port);
  evhttp_connection *Taken = Owner.Idle.back();
  Owner.Idle.pop_back();
  return Taken;
}

void passAnswer(evhttp_request *Answer, void *Context) {
  auto *Done = static_cast<Forwarded *>(Context);
  if (Answer == nullptr || evhttp_request_get_response_code(Answer) == 0) {
    evhttp_send_error(Done->Incoming, HTTP_SERVUNAVAIL, nullptr);
  } else {
    Done->Owner->Idle.push_back(Done->Used);
    evbuffer_add_buffer(evhttp_request_get_output_buffer(Done->Incoming),
                        evhttp_request_get_input_buffer(Answer));
    evhttp_add_header(evhttp_request_get_output_headers(Done->Incoming),
                      "Content-Type", "application/json");
    evhttp_send_reply(Done->Incoming, evhttp_request_get_response_code(Answer),
                      nullptr, nullptr);
  }
  delete Done;
}

void forward(evhttp_request *Incoming, void *Context) {
  auto &Owner = *static_cast<Relay *>(Context);
  auto *Entry = new Forwarded{&Owner, Incoming, takeConnection(Owner)};
  evhttp_request *Sent = evhttp_request_new(passAnswer, Entry);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Sent);
  evhttp_add_header(Headers, "Host", Owner.Backend.Address.c_str());
  evhttp_add_header(Headers, "X-Task", "relayed/0");
  evbuffer_add_buffer(evhttp_request_get_output_buffer(Sent),
                      evhttp_request_get_input_buffer(Incoming));
  evhttp_make_request(Entry->Used, Sent, EVHTTP_REQ_POST,
                      evhttp_request_get_uri(Incoming));
}

} // namespace

int runRelay(const Endpoint &At, const Endpoint &Backend) {
  Relay Owner{event_base_new(), Backend, {}};
  evhttp *Http = evhttp_new(Owner.Base);
  evhttp_set_gencb(Http, forward, &Owner);
  const bool Bound = evhttp_bind_socket(Http, At.Address.c_str(), At.Port) == 0;
  if (Bound)
    event_base_dispatch(Owner.Base);
  evhttp_free(Http);
  event_base_free(Owner.Base);
  return Bound ? 0 : 1;
}

} // namespace sapphiremoor::bench
