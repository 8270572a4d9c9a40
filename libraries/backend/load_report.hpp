/// Parsing of the load reports of backend servers.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::backend
{

enum class server_state
{
    cold,
    warm,
    /// The server is draining.
    leaving,
    unreachable,
};

/// Whether a server rejects placement commands with an old fencing number.
enum class fencing_support
{
    enforced,
    ignored,
};

/// The load that a server reports. Reports lag behind the server's actual state.
struct load_report
{
    /// Changes with every start of the server process.
    std::string instance;
    server_state state = server_state::warm;
    int running = 0;
    int waiting = 0;
    std::int64_t kv_used_tokens = 0;
    std::int64_t kv_capacity_tokens = 0;
    /// Maximum number of concurrent requests while cold; 0 if not reported.
    int cold_capacity = 0;
    /// Maximum number of concurrent requests when warm; 0 if not reported.
    int max_running = 0;
    std::int64_t preemptions = 0;
    std::vector<std::string> models;
    std::string role;
    fencing_support fencing = fencing_support::ignored;
};

/// Parses the response to `GET /load`. Fails with bad_request if the report is malformed.
base::result<load_report> parse_load_report(std::string_view text);

} // namespace jasminepier::backend
