#ifndef LAGOONSADDLE_GATEWAY_FWD_HPP
#define LAGOONSADDLE_GATEWAY_FWD_HPP

namespace lagoonsaddle::gateway {

class caller_handler;
class config_service;
class load_permit_service;
class node;
class order_authority;
class ownership_service;
class request_observer;
class routing_table;
class upstream_directory;
class upstream_owner;
class vm_list_service;

struct caller_request;
struct request_record;

} // namespace lagoonsaddle::gateway

#endif
