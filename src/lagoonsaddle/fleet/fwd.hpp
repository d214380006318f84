#ifndef LAGOONSADDLE_FLEET_FWD_HPP
#define LAGOONSADDLE_FLEET_FWD_HPP

namespace lagoonsaddle::fleet {

class config_replica;
class membership;
class ownership;

struct datagram;
struct gossip_item;
struct member;
struct member_change;
struct member_info;
struct membership_settings;
struct node_id;
struct ownership_settings;

} // namespace lagoonsaddle::fleet

#endif
