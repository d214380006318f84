#ifndef LAGOONSADDLE_JOURNAL_FWD_HPP
#define LAGOONSADDLE_JOURNAL_FWD_HPP

namespace lagoonsaddle::journal {

class claim_journal;
class claim_shard;
class claimant_liveness;

struct claim_entry;
struct claim_journal_options;
struct claim_request;
struct claim_result;
struct claim_shard_options;
struct journal_counters;
struct outcome;

} // namespace lagoonsaddle::journal

#endif
