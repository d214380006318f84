#ifndef LAGOONSADDLE_UPSTREAM_FWD_HPP
#define LAGOONSADDLE_UPSTREAM_FWD_HPP

namespace lagoonsaddle::upstream {

class engine_client;
class engine_stream;
class service_client;
class sse_parser;

struct description;
struct engine_call;
struct engine_report;
struct order;
struct order_outcome;

enum class kind : unsigned char;
enum class order_kind : unsigned char;

} // namespace lagoonsaddle::upstream

#endif
