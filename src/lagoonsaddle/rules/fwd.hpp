#ifndef LAGOONSADDLE_RULES_FWD_HPP
#define LAGOONSADDLE_RULES_FWD_HPP

namespace lagoonsaddle::rules {

class evaluator;
class hit_counter;
class rate_limiter;
class recent_requests;

struct conditions;
struct decision;
struct diagnostic;
struct outcome;
struct preview_report;
struct request_attributes;
struct rule;
struct rule_set;

enum class action;

} // namespace lagoonsaddle::rules

#endif
