#ifndef LAGOONSADDLE_PLATFORM_FWD_HPP
#define LAGOONSADDLE_PLATFORM_FWD_HPP

namespace lagoonsaddle::platform {

class config_store;
class http_object_store;
class http_vm_list;
class memory_object_store;
class object_store;
class vm_list;

struct call_counts;
struct config_change;
struct config_document;
struct config_revision;
struct config_store_options;
struct http_object_store_options;
struct http_vm_list_options;
struct memory_store_faults;
struct object;
struct save_failure;
struct vm;
struct vm_snapshot;

enum class vm_kind;
enum class vm_state;

} // namespace lagoonsaddle::platform

#endif
