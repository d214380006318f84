#ifndef LAGOONSADDLE_RELAY_FWD_HPP
#define LAGOONSADDLE_RELAY_FWD_HPP

/*! @brief Connections to upstreams through a peer, for a node that cannot reach them itself. */
namespace lagoonsaddle::relay {

class relay_connector;
class relay_policy;
class relay_server;

struct open_reply;
struct open_request;

} // namespace lagoonsaddle::relay

#endif
