#include "relay.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <vector>

namespace sapphiremoor::bench {

namespace {

struct RelayState {
  event_base *Base;
  Endpoint Backend;
  std::vector<evhttp_connection *> IdleConnections;
};

/// A forwarded request that waits for the answer of the backend server.
struct ForwardedRequest {
  RelayState *State;
  evhttp_request *Incoming;
  evhttp_connection *Connection;
};

evhttp_connection *takeConnection(RelayState &State) {
  if (State.IdleConnections.empty())
    return evhttp_connection_base_new(
        State.Base, nullptr, State.Backend.Address.c_str(), State.Backend.Port);
  evhttp_connection *Connection = State.IdleConnections.back();
  State.IdleConnections.pop_back();
  return Connection;
}

void forwardAnswer(evhttp_request *Answer, void *Context) {
  auto *Forwarded = static_cast<ForwardedRequest *>(Context);
  if (Answer == nullptr || evhttp_request_get_response_code(Answer) == 0) {
    evhttp_send_error(Forwarded->Incoming, HTTP_SERVUNAVAIL, nullptr);
  } else {
    Forwarded->State->IdleConnections.push_back(Forwarded->Connection);
    evbuffer_add_buffer(evhttp_request_get_output_buffer(Forwarded->Incoming),
                        evhttp_request_get_input_buffer(Answer));
    evhttp_add_header(evhttp_request_get_output_headers(Forwarded->Incoming),
                      "Content-Type", "application/json");
    evhttp_send_reply(Forwarded->Incoming,
                      evhttp_request_get_response_code(Answer), nullptr,
                      nullptr);
  }
  delete Forwarded;
}

void forwardRequest(evhttp_request *Incoming, void *Context) {
  auto &State = *static_cast<RelayState *>(Context);
  auto *Forwarded =
      new ForwardedRequest{&State, Incoming, takeConnection(State)};
  evhttp_request *Outgoing = evhttp_request_new(forwardAnswer, Forwarded);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Outgoing);
  evhttp_add_header(Headers, "Host", State.Backend.Address.c_str());
  evhttp_add_header(Headers, "X-Task", "relayed/0");
  evbuffer_add_buffer(evhttp_request_get_output_buffer(Outgoing),
                      evhttp_request_get_input_buffer(Incoming));
  evhttp_make_request(Forwarded->Connection, Outgoing, EVHTTP_REQ_POST,
                      evhttp_request_get_uri(Incoming));
}

} // namespace

int runRelay(const Endpoint &ListenEndpoint, const Endpoint &Backend) {
  RelayState State{event_base_new(), Backend, {}};
  evhttp *Http = evhttp_new(State.Base);
  evhttp_set_gencb(Http, forwardRequest, &State);
  const bool Bound = evhttp_bind_socket(Http, ListenEndpoint.Address.c_str(),
                                        ListenEndpoint.Port) == 0;
  if (Bound)
    event_base_dispatch(State.Base);
  evhttp_free(Http);
  event_base_free(State.Base);
  return Bound ? 0 : 1;
}

} // namespace sapphiremoor::bench
