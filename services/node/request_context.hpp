/// A caller's request while it is served.
#pragma once

#include "base/error.hpp"
#include "http/caller_connection.hpp"
#include "http/message.hpp"
#include "services/node/node_state.hpp"
#include "services/node/server_attempt.hpp"
#include "serving/request_metadata.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// How a request ended, for the caller's connection, the log and the metrics.
enum class request_outcome
{
    served,
    /// The server's own failure was passed on.
    server_error,
    /// An answer of this system.
    local_response,
    /// The stream was broken off after it had begun.
    aborted,
    caller_left,
};

std::string_view to_string(request_outcome end) noexcept;

class request_context
{
public:
    request_context(node_state& state, http::caller_connection& caller, http::wakeup& wake,
                    http::request received, base::time_point arrival);

    node_state& state;
    http::caller_connection& caller;
    /// Signalled when the server of this request leaves and when a place becomes free.
    http::wakeup& wake;
    http::request request;
    serving::request_metadata metadata;
    base::time_point arrival;
    /// When the caller's patience or the route's time limit ends.
    base::time_point deadline;
    std::shared_ptr<serving::fleet_configuration const> configuration;
    serving::route const* route = nullptr;
    serving::service const* service = nullptr;
    std::optional<serving::customer> customer;
    serving::request_demand demand;
    std::uint64_t fingerprint = 0;

    /// Servers that were tried, and how many of them may have begun the work.
    std::vector<std::string> excluded;
    int servers_used = 0;
    int attempts = 0;

    /// Whether the connection may carry another request after this one.
    bool keep_connection = true;
    request_outcome ended = request_outcome::local_response;
    int status = 0;
    /// The error code of an own answer.
    std::string_view code = "ok";
    std::string last_server;
    std::optional<base::time_point> first_event;
    int handovers = 0;

    base::milliseconds time_left() const;
    /// Chooses a server and counts the run, or fails with the reason. Waits while every place is
    /// taken, as long as that is worth more to the caller than a refusal.
    base::result<server_attempt> acquire_server();
    /// Chooses a server for a run that leaves `source`.
    std::optional<server_attempt> acquire_handover_target(serving::selected_server const& source,
                                                          std::vector<std::string> const& tried);
    /// Takes one retry of the service's bound.
    bool try_spend_retry();
    /// The header values that go to `server` with this request.
    serving::forwarded_metadata
    make_forwarded_metadata(serving::selected_server const& server) const;
    /// Records that the server broke down while the request ran there.
    void note_crash(serving::selected_server const& server);

    /// Sends an answer of this system. A refusal carries the time at which coming back is worth it.
    void refuse(base::error const& failure);
    /// Sends a server's whole answer.
    void deliver(http::response const& answer);
    void log_end() const;

private:
    std::optional<server_attempt> try_acquire_server(serving::server_selection& found);
    void log_route(serving::selected_server const& server, std::string_view purpose) const;
};

} // namespace jasminepier::node
