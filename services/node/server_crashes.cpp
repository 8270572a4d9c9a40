#include "services/node/server_crashes.hpp"

#include "base/log.hpp"
#include "decision/prompt_part_format.hpp"
#include "http/connection_probe.hpp"
#include "services/node/node_metrics.hpp"

#include <thread>

namespace jasminepier::node
{
namespace
{

using serving::crash_evidence;

// Time to establish a connection to a server that may have crashed. A host without the process
// refuses it within a round trip.
constexpr base::milliseconds crash_probe_timeout{200};
// Hosts that do not respond hold up the thread that confirms crashes.
constexpr std::size_t maximum_probes_per_pass = 4;
// A process that ends may close its connections before its port.
constexpr base::milliseconds repeated_probe_delay{50};
// Tells crashes during whole requests from those during parts of prompts, which have causes of
// their own.
constexpr char const* whole_request_prefix = "request@";

bool refuses_connection(std::string const& address, int probes)
{
    for (int probe = 0; probe < probes; ++probe)
    {
        if (probe > 0)
            std::this_thread::sleep_for(repeated_probe_delay);
        if (http::refuses_connection(address, crash_probe_timeout))
            return true;
    }
    return false;
}

void record_crash(node_state& state, serving::lost_answer const& lost, crash_evidence evidence)
{
    auto& detector = state.poison_requests();
    auto const now = base::steady_clock_source{}.now();
    auto const instance = std::to_string(lost.server_started_unix_milliseconds);
    auto const age = std::chrono::ceil<base::milliseconds>(now - lost.time).count();
    bool const is_new = detector.record(
        {lost.fingerprint, lost.server, whole_request_prefix + instance, 0, age}, now);
    observe_event("server_crash", to_string(evidence));
    base::log_line(base::log_level::warning, "request_suspected")
        .field("request_id", lost.request_id)
        .field("server", lost.server)
        .field("evidence", to_string(evidence))
        .field("known", is_new ? 0 : 1)
        .field("lost_ms_ago", age);
    auto const suspects =
        detector.record_unanswered(lost.prompt_parts, lost.server, instance, lost.time);
    for (auto const part : suspects)
    {
        observe_event("prompt_part", "suspected");
        base::log_line(base::log_level::warning, "prompt_part_suspected")
            .field("request_id", lost.request_id)
            .field("part", decision::format_prompt_part(part))
            .field("server", lost.server)
            .field("evidence", to_string(evidence));
    }
    state.report_due().signal();
}

} // namespace

bool record_lost_answer(node_state& state, serving::lost_answer answer, int probes)
{
    bool const is_leaving = state.with(
        [&](node_state::tables& tables)
        {
            auto const& servers = tables.dispatcher.directory().servers();
            if (auto const found = servers.find(answer.server); found != servers.end())
                answer.server_started_unix_milliseconds =
                    found->second.entry.started_unix_milliseconds;
            return tables.dispatcher.is_leaving(answer.server);
        });
    if (is_leaving)
        return false;
    if (refuses_connection(answer.address, probes))
    {
        record_crash(state, answer, crash_evidence::connection_refused);
        return true;
    }
    observe_event("lost_answer", "unexplained");
    base::log_line(base::log_level::info, "answer_lost")
        .field("request_id", answer.request_id)
        .field("server", answer.server)
        .field("probes", probes);
    state.with([&](node_state::tables& tables) { tables.lost_answers.add(std::move(answer)); });
    return false;
}

void confirm_server_crashes(node_state& state)
{
    auto const now = base::steady_clock_source{}.now();
    std::vector<serving::lost_answer> restarted;
    std::vector<std::string> addresses;
    state.with(
        [&](node_state::tables& tables)
        {
            restarted = tables.lost_answers.take_restarted(tables.dispatcher.directory(), now);
            addresses = tables.lost_answers.take_due_probes(now, maximum_probes_per_pass);
        });
    for (auto const& lost : restarted)
        record_crash(state, lost, crash_evidence::restarted);
    for (auto const& address : addresses)
    {
        if (!http::refuses_connection(address, crash_probe_timeout))
            continue;
        auto const refused = state.with([&](node_state::tables& tables)
                                        { return tables.lost_answers.take_refused(address); });
        for (auto const& lost : refused)
            record_crash(state, lost, crash_evidence::connection_refused);
    }
}

} // namespace jasminepier::node
