/// Metrics of the control process and the HTTP listener that serves them.
#pragma once

#include "services/control/control_state.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace jasminepier::control
{

/// Adds the preemptions since the server's previous report to the counter. A new instance id shows
/// that the server was restarted and counts from zero again.
void record_preemptions(configuration::server const& server,
                        inner_protocol::load_digest const& digest);

/// Returns the response body of `GET /metrics`.
std::string format_control_metrics(control_state const& state);

/// Serves `GET /metrics` until it is destroyed.
class metrics_listener
{
public:
    metrics_listener(control_state const& state, std::string const& host, std::uint16_t port);
    metrics_listener(metrics_listener const&) = delete;
    metrics_listener& operator=(metrics_listener const&) = delete;
    ~metrics_listener();

private:
    struct server_parts;
    std::unique_ptr<server_parts> m_server_parts;
};

} // namespace jasminepier::control
