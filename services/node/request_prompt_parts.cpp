/// Crashes of servers that are traced to parts of the prompt.
#include "base/log.hpp"
#include "decision/prompt_part_format.hpp"
#include "services/node/node_metrics.hpp"
#include "services/node/request_context.hpp"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace jasminepier::node
{
namespace
{

// Time to establish a connection to a server that may have crashed. A host without the process
// refuses it within a round trip.
constexpr base::milliseconds crash_probe_timeout{200};

bool refuses_connection(std::string const& address)
{
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address),
                       Poco::Timespan(crash_probe_timeout.count() * 1000));
        return false;
    }
    catch (Poco::Net::ConnectionRefusedException const&)
    {
        return true;
    }
    catch (Poco::Exception const&)
    {
        // Without a response, the link may be down instead of the server.
        return false;
    }
}

} // namespace

void request_context::record_unanswered(serving::selected_server const& server, bool response_begun)
{
    bool is_leaving = false;
    std::int64_t started = 0;
    state.with(
        [&](node_state::tables& tables)
        {
            is_leaving = tables.dispatcher.is_leaving(server.id);
            auto const& servers = tables.dispatcher.directory().servers();
            if (auto const found = servers.find(server.id); found != servers.end())
                started = found->second.entry.started_unix_milliseconds;
        });
    // A leaving server closes its connections, which is no crash.
    if (is_leaving || (!response_begun && !refuses_connection(server.address)))
        return;
    crashed_server = crashed_server || response_begun;
    auto const now = base::steady_clock_source{}.now();
    auto const suspects = state.poison_requests().record_unanswered(prompt_parts, server.id,
                                                                    std::to_string(started), now);
    state.report_due().signal();
    for (auto const part : suspects)
    {
        observe_event("prompt_part", "suspected");
        base::log_line(base::log_level::warning, "prompt_part_suspected")
            .field("request_id", metadata.request_id)
            .field("part", decision::format_prompt_part(part))
            .field("server", server.id)
            .field("evidence", response_begun ? "response_begun" : "connection_refused");
    }
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

base::result<void> request_context::check_prompt_parts()
{
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
