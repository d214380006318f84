#ifndef LAGOONSADDLE_HTTP_FWD_HPP
#define LAGOONSADDLE_HTTP_FWD_HPP

namespace lagoonsaddle::http {

class client;
class fields;
class handler;
class response_stream;
class response_writer;
class server;

struct client_options;
struct request;
struct response;
struct server_options;

} // namespace lagoonsaddle::http

#endif
