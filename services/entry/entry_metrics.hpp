/// Metrics of callers' requests. The front handler creates one `request_observation` per request.
/// The functions below record into the observation of the calling thread, since a single worker
/// serves the complete request. Without an observation they have no effect.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "configuration/types.hpp"
#include "metrics/instruments.hpp"
#include "services/entry/request_log.hpp"

#include <string>
#include <vector>

namespace jasminepier::entry
{

/// Minimum gap between tokens that counts as a stall: four times the target of 38 ms, as in the
/// rule that detects servers that turned cold.
inline constexpr std::chrono::milliseconds stall_threshold{152};

/// Whether operators have taken any zone out of service.
enum class zone_availability
{
    all_zones_in_service,
    zone_out,
};

/// Opens a request record. Customer, work kind and model must have been validated.
void observe_request(std::string const& request_id, std::string const& customer,
                     configuration::work_kind kind, std::string const& model);

/// Records the selection of a server, once per attempt. May be called on any thread if the choice
/// has a request id.
void observe_route(route_choice const& choice);

/// Records the arrival of one token from the engine.
void observe_token();

/// Record a retry of the request, or a hedged attempt at a second server.
void observe_retry();
void observe_hedge();

/// Records that the request fails, before the response or within it.
void observe_failure(base::error_kind kind);

/// Records that the caller closed the connection.
void observe_disconnect();

/// Measures a request of the calling thread from construction to destruction.
class request_observation
{
public:
    explicit request_observation(zone_availability availability);
    request_observation(request_observation const&) = delete;
    request_observation& operator=(request_observation const&) = delete;
    ~request_observation();

private:
    friend void observe_request(std::string const&, std::string const&, configuration::work_kind,
                                std::string const&);
    friend void observe_route(route_choice const&);
    friend void observe_token();
    friend void observe_retry();
    friend void observe_hedge();
    friend void observe_failure(base::error_kind);
    friend void observe_disconnect();

    void select_token_histograms();
    void record_token(base::time_point now);

    zone_availability m_zone_availability;
    base::time_point m_start;
    base::time_point m_last_token{};
    std::chrono::microseconds m_stalled{0};
    request_record m_record;
    std::string m_zone;
    metrics::duration_histogram* m_first_token = nullptr;
    metrics::duration_histogram* m_between_tokens = nullptr;
    metrics::duration_histogram* m_stall = nullptr;
};

/// Returns the log behind `GET /v1/requests/{id}`.
request_log& recent_requests();

/// Returns the response body of `GET /metrics`.
std::string format_entry_metrics();

} // namespace jasminepier::entry
