#ifndef LAGOONSADDLE_OPERATE_FWD_HPP
#define LAGOONSADDLE_OPERATE_FWD_HPP

namespace lagoonsaddle::operate {

class counter;
class event_log;
class explain_store;
class gauge;
class metrics_registry;
class operator_backend;
class operator_handler;
class summary;
class token_authenticator;

struct event;
struct explain_record;
struct rules_state;

} // namespace lagoonsaddle::operate

#endif
