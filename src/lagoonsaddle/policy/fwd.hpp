#ifndef LAGOONSADDLE_POLICY_FWD_HPP
#define LAGOONSADDLE_POLICY_FWD_HPP

namespace lagoonsaddle::policy {

class adapter_slots;
class admission_queue;
class crash_quarantine;
class load_scheduler;
class prompt_part_quarantine;
class retry_policy;
class router;
class upstream_view;

} // namespace lagoonsaddle::policy

#endif
