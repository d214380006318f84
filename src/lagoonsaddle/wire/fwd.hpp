#ifndef LAGOONSADDLE_WIRE_FWD_HPP
#define LAGOONSADDLE_WIRE_FWD_HPP

namespace lagoonsaddle::wire {

class exchange;
class frame_decoder;
class peer_client;
class peer_handler;
class peer_server;
class responder;

struct frame;
struct hello;

enum class message_type : unsigned char;

} // namespace lagoonsaddle::wire

#endif
