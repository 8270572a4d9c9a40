#include "services/entry/entry_metrics.hpp"

#include "metrics/exposition.hpp"

#include <array>

namespace jasminepier::entry
{
namespace
{

using metrics::duration_histogram;
using metrics::family;
using metrics::label;

// Finer around the targets: 1.1 s for the first token, 38 ms between tokens.
constexpr std::array first_token_bounds{0.025, 0.05, 0.1, 0.2, 0.4,  0.7,  1.1,
                                        2.0,   5.0,  10., 30., 60.0, 120., 300.};
constexpr std::array token_gap_bounds{0.002, 0.005, 0.01,  0.02, 0.03, 0.038,
                                      0.05,  0.075, 0.152, 0.3,  1.0,  5.0};
constexpr std::array stall_bounds{0.0, 0.152, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0};

/// Limits on label values: 16 zones, 15 models and 5 work kinds at full size, plus room for
/// changes.
std::vector<label> token_labels()
{
    return {{"zone", 24}, {"kind", 5}, {"model", 24}};
}

struct entry_families
{
    family<duration_histogram> first_token{"jasminepier_time_to_first_token_seconds",
                                           "Time from the request to its first token.",
                                           token_labels(), std::span(first_token_bounds)};
    family<duration_histogram> between_tokens{"jasminepier_time_between_tokens_seconds",
                                              "Time between two tokens of an answer.",
                                              token_labels(), std::span(token_gap_bounds)};
    family<duration_histogram> stall{
        "jasminepier_stall_seconds",
        "Time per answer spent in gaps between tokens of 152 ms or more.", token_labels(),
        std::span(stall_bounds)};
    family<metrics::counter> requests{
        "jasminepier_requests_total",
        "Requests by result and by whether any zone was out of service.",
        {{"zone_state", 2}, {"zone", 24}, {"kind", 5}, {"model", 24}, {"result", 4}}};
    family<metrics::counter> refusals{"jasminepier_refusals_total",
                                      "Requests refused before anything was run, by error code.",
                                      {{"code", 32}}};
    family<metrics::counter> failures{"jasminepier_failures_total",
                                      "Requests that failed and may have run, by error code.",
                                      {{"code", 32}}};
    family<metrics::counter> retries{
        "jasminepier_retries_total", "Attempts after the first one.", {{"kind", 5}}};
    family<metrics::counter> hedges{"jasminepier_hedges_total",
                                    "Second requests sent while the first was running.",
                                    {{"kind", 5}}};
};

entry_families& families()
{
    static entry_families instance;
    return instance;
}

thread_local request_observation* current_observation = nullptr;

std::string or_none(std::string const& value)
{
    return value.empty() ? "none" : value;
}

std::int64_t to_milliseconds(std::chrono::microseconds value)
{
    return value.count() / 1000;
}

} // namespace

request_observation::request_observation(zone_availability availability)
    : m_zone_availability(availability), m_start(base::steady_clock_source{}.now())
{
    m_record.result = "served";
    current_observation = this;
}

request_observation::~request_observation()
{
    current_observation = nullptr;
    m_record.stalled_milliseconds = to_milliseconds(m_stalled);
    m_record.total_milliseconds = to_milliseconds(base::steady_clock_source{}.now() - m_start);
    if (m_record.id.empty())
        return;
    if (m_stall != nullptr)
        m_stall->observe(m_stalled);
    // Non-idempotent calls are dispatched on another thread.
    if (m_zone.empty())
        m_zone = recent_requests().latest_zone(m_record.id);
    auto const* state =
        m_zone_availability == zone_availability::zone_out ? "zone_out" : "all_zones_in_service";
    families()
        .requests
        .with_labels(
            {state, or_none(m_zone), m_record.kind, or_none(m_record.model), m_record.result})
        .add();
    recent_requests().finish(m_record);
}

void request_observation::select_token_histograms()
{
    auto& all = families();
    metrics::label_values const values{or_none(m_zone), m_record.kind, or_none(m_record.model)};
    m_first_token = &all.first_token.with_labels(values);
    m_between_tokens = &all.between_tokens.with_labels(values);
    m_stall = &all.stall.with_labels(values);
}

void request_observation::record_token(base::time_point now)
{
    if (m_between_tokens == nullptr)
        select_token_histograms();
    if (m_record.tokens++ == 0)
    {
        m_first_token->observe(now - m_start);
        m_record.first_token_milliseconds = to_milliseconds(now - m_start);
    }
    else
    {
        auto const gap = now - m_last_token;
        m_between_tokens->observe(gap);
        if (gap >= stall_threshold)
            m_stalled += gap;
    }
    m_last_token = now;
}

void observe_request(std::string const& request_id, std::string const& customer,
                     configuration::work_kind kind, std::string const& model)
{
    if (current_observation == nullptr)
        return;
    auto& record = current_observation->m_record;
    record.id = request_id;
    record.customer = customer;
    record.kind = to_string(kind);
    record.model = model;
    record.started_unix_seconds = base::unix_seconds();
    auto started = record;
    started.result = "running";
    recent_requests().begin(std::move(started));
}

void observe_route(route_choice const& choice)
{
    if (!choice.request_id.empty())
        recent_requests().add_attempt(choice.request_id, choice);
    else if (current_observation != nullptr)
        recent_requests().add_attempt(current_observation->m_record.id, choice);
    if (current_observation == nullptr)
        return;
    if (current_observation->m_zone != choice.zone)
        current_observation->m_between_tokens = nullptr;
    current_observation->m_zone = choice.zone;
}

void observe_token()
{
    if (current_observation != nullptr)
        current_observation->record_token(base::steady_clock_source{}.now());
}

void observe_retry()
{
    if (current_observation != nullptr)
        families().retries.with_labels({current_observation->m_record.kind}).add();
}

void observe_hedge()
{
    if (current_observation != nullptr)
        families().hedges.with_labels({current_observation->m_record.kind}).add();
}

void observe_failure(base::error_kind kind)
{
    auto const& row = base::error_response_for(kind);
    bool const refused = row.execution == base::execution_status::not_run;
    (refused ? families().refusals : families().failures)
        .with_labels({std::string(row.code)})
        .add();
    if (current_observation == nullptr)
        return;
    current_observation->m_record.result = refused ? "refused" : "failed";
    current_observation->m_record.code = row.code;
}

void observe_disconnect()
{
    if (current_observation != nullptr)
        current_observation->m_record.result = "disconnected";
}

request_log& recent_requests()
{
    static request_log instance;
    return instance;
}

std::string format_entry_metrics()
{
    auto const& all = families();
    std::string out;
    write_family(out, all.first_token, first_token_bounds);
    write_family(out, all.between_tokens, token_gap_bounds);
    write_family(out, all.stall, stall_bounds);
    for (auto const* source :
         {&all.requests, &all.refusals, &all.failures, &all.retries, &all.hedges})
        write_family(out, *source);
    return out;
}

} // namespace jasminepier::entry
