#ifndef LAGOONSADDLE_CORE_FWD_HPP
#define LAGOONSADDLE_CORE_FWD_HPP

namespace lagoonsaddle::core {

class clock;
class boot_clock;
class manual_clock;
class model_name;

struct adapter_version;
struct endpoint;
struct error;

enum class reason;
enum class verdict;

} // namespace lagoonsaddle::core

#endif
