/// Load reports of backend servers.
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
    leaving,
    unreachable,
};

/// Whether a server refuses orders with an old fencing number.
enum class fencing_support
{
    enforced,
    ignored,
};

/// What a server says about itself. Reports lag behind the server's real state.
struct load_report
{
    /// Changes whenever the server process starts.
    std::string instance;
    server_state state = server_state::warm;
    int running = 0;
    int waiting = 0;
    std::int64_t kv_used_tokens = 0;
    std::int64_t kv_capacity_tokens = 0;
    /// Requests that the server can run while cold; 0 when it does not say.
    int cold_capacity = 0;
    /// Requests that the server can run when warm; 0 when it does not say.
    int max_running = 0;
    std::int64_t preemptions = 0;
    std::vector<std::string> models;
    std::string role;
    fencing_support fencing = fencing_support::ignored;
};

/// Parses the answer of `GET /load`. Fails with bad_request on a malformed report.
base::result<load_report> parse_load_report(std::string_view text);

} // namespace jasminepier::backend
