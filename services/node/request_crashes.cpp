/// Crashes of servers that are traced to a request or to parts of its prompt.
#include "base/log.hpp"
#include "decision/prompt_part_format.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/request_context.hpp"
#include "services/node/server_crashes.hpp"

#include <algorithm>

namespace jasminepier::node
{
void request_context::record_lost_answer(serving::selected_server const& server,
                                         answer_loss const& loss)
{
    serving::lost_answer lost{metadata.request_id,
                              fingerprint,
                              {},
                              server.id,
                              server.address,
                              0,
                              base::steady_clock_source{}.now()};
    if (!loss.answered)
        lost.prompt_parts = prompt_parts;
    bool const is_probable_cause = loss.response_begun && !loss.answered;
    int const probes = !loss.closed_by_server ? 0 : is_probable_cause ? 2 : 1;
    bool const crashed = node::record_lost_answer(state, std::move(lost), probes);
    crashed_server = crashed_server || (crashed && is_probable_cause);
}

void request_context::record_completed()
{
    auto const now = base::steady_clock_source{}.now();
    if (!state.poison_requests().record_completed(fingerprint, now))
        return;
    observe_event("request_crashes", "cleared");
    base::log_line(base::log_level::info, "request_cleared")
        .field("request_id", metadata.request_id);
    state.report_due().signal();
}

void request_context::record_answered()
{
    auto const now = base::steady_clock_source{}.now();
    auto const cleared = state.poison_requests().record_answered(prompt_parts, now);
    for (auto const part : cleared)
    {
        observe_event("prompt_part", "cleared");
        base::log_line(base::log_level::info, "prompt_part_cleared")
            .field("request_id", metadata.request_id)
            .field("part", decision::format_prompt_part(part));
    }
    if (!cleared.empty())
        state.report_due().signal();
}

bool request_context::try_begin_trial(decision::part_judgement const& judgement,
                                      base::time_point now)
{
    auto& detector = state.poison_requests();
    auto const deciding_part = detector.find_due_trial(prompt_parts, now);
    if (!deciding_part)
        return false;
    auto const position =
        state.with([&](node_state::tables& tables)
                   { return tables.nodes.find_trial_position(*deciding_part, now); });
    if (!detector.try_begin_trial(prompt_parts, position, now))
        return false;
    m_trial_verdict = judgement.verdict;
    state.report_due().signal();
    observe_event("prompt_part", "tried");
    base::log_line(base::log_level::info, "prompt_part_tried")
        .field("request_id", metadata.request_id)
        .field("part", decision::format_prompt_part(judgement.part))
        .field("ambiguous", judgement.verdict == decision::part_verdict::ambiguous ? 1 : 0);
    return true;
}

bool request_context::prompt_parts_may_run()
{
    auto const now = base::steady_clock_source{}.now();
    auto const judgement = state.poison_requests().judge_parts(prompt_parts, now);
    return judgement.verdict <= m_trial_verdict || try_begin_trial(judgement, now);
}

bool request_context::may_run()
{
    auto& detector = state.poison_requests();
    auto const now = base::steady_clock_source{}.now();
    if (m_is_request_trial ||
        detector.classify(fingerprint, now) != decision::poison_verdict::rejected)
        return true;
    auto const position =
        state.with([&](node_state::tables& tables)
                   { return tables.nodes.find_trial_position(fingerprint, now); });
    if (!detector.try_begin_request_trial(fingerprint, position, now))
        return false;
    m_is_request_trial = true;
    state.report_due().signal();
    observe_event("request_crashes", "tried");
    base::log_line(base::log_level::info, "request_tried").field("request_id", metadata.request_id);
    return true;
}

base::result<void> request_context::check_crash_records()
{
    if (!may_run())
    {
        observe_event("request_crashes", "rejected");
        base::log_line(base::log_level::warning, "request_rejected")
            .field("request_id", metadata.request_id)
            .field("reason", "crashes");
        return base::fail(base::error_kind::no_server, "the request has crashed several servers");
    }
    if (prompt_parts_may_run())
        return {};
    auto const now = base::steady_clock_source{}.now();
    auto const judgement = state.poison_requests().judge_parts(prompt_parts, now);
    auto const position = std::find(prompt_parts.begin(), prompt_parts.end(), judgement.part);
    observe_event("prompt_part", "rejected");
    base::log_line line(base::log_level::warning, "prompt_part_rejected");
    line.field("request_id", metadata.request_id)
        .field("part", decision::format_prompt_part(judgement.part))
        .field("ambiguous", judgement.verdict == decision::part_verdict::ambiguous ? 1 : 0)
        .field("retry_after_ms", judgement.retry_after.count());
    if (position != prompt_parts.end())
        line.field("part_id", metadata.shared_prompt_parts[static_cast<std::size_t>(
                                  position - prompt_parts.begin())]);
    return base::fail(base::error_kind::no_server, "a part of the prompt crashes servers");
}

} // namespace jasminepier::node
