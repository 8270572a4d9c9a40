/// Measurement of callers' requests. The front handler opens one `request_observation` per request;
/// the functions below record into the observation of the calling thread, since one worker serves a
/// request from its first byte to its last. Without an open observation they do nothing.
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

/// A gap between tokens counts as a stall from here on: four times the target of 38 ms between
/// tokens, as in the rule for servers that turned cold.
inline constexpr std::chrono::milliseconds stall_threshold{152};

/// Whether operators have taken any zone out while a request is served.
enum class zone_availability
{
    all_zones_in_service,
    zone_out,
};

/// Opens a record for a request whose customer, work kind and model are known and checked.
void observe_request(std::string const& request_id, std::string const& customer,
                     configuration::work_kind kind, std::string const& model);

/// Records the choice of a server, once per attempt. With a request id it may be called on any
/// thread.
void observe_route(route_choice const& choice);

/// Records the arrival of one token from the engine.
void observe_token();

/// Records that the request is sent again, or to a second server at the same time.
void observe_retry();
void observe_hedge();

/// Records that the request ends with an error, before or within the answer.
void observe_failure(base::error_kind kind);

/// Records that the caller closed the connection.
void observe_disconnect();

/// Times one request of the calling thread and records its end on destruction.
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

/// The requests that `GET /v1/requests/{id}` shows.
request_log& recent_requests();

/// Returns the answer of `GET /metrics`.
std::string write_entry_metrics();

} // namespace jasminepier::entry
