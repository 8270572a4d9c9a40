/// Reconciliation of the reported with the desired models and roles of servers.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::placement
{

/// The desired state of a server: the value of a `placement/<server>` object.
struct desired_placement
{
    std::vector<std::string> models;
    /// Empty keeps the server's current role.
    std::string role;
};
/// Fails with bad_request if the text is malformed.
base::result<desired_placement> parse_placement(std::string const& text);

/// The state that a server last reported.
struct reported_placement
{
    std::vector<std::string> models;
    std::string role;
};

enum class command_action
{
    load_model,
    unload_model,
    set_role,
};
std::string_view to_string(command_action action) noexcept;

/// A command to a server. `model` is empty for `set_role`; `role` is empty for the other actions.
struct placement_command
{
    std::string server;
    command_action action = command_action::load_model;
    std::string model;
    std::string role;

    auto operator<=>(placement_command const&) const = default;
};

/// Returns the commands that change `reported` into `desired`. Models are unloaded first, because
/// the freed memory may be needed.
std::vector<placement_command> missing_commands(std::string const& server,
                                                desired_placement const& desired,
                                                reported_placement const& reported);

struct command_rate_limits
{
    /// Maximum number of model loads started per window; the weight store is rate-limited.
    std::size_t maximum_loads_per_window = 2;
    base::milliseconds load_window{10000};
    /// Minimum interval before a command is repeated; reports lag and loads take time.
    base::milliseconds repeat_interval{30000};
};

/// Limits the rate of model loads and the repetition of commands. Not synchronized.
class command_rate_limiter
{
public:
    explicit command_rate_limiter(command_rate_limits settings) : m_settings(settings) {}

    /// Resets the state when the lease is gained. Assumes that the previous holder has just used up
    /// the window's loads.
    void reset(base::time_point now);
    /// Returns true and counts the command if it may be sent now.
    bool try_admit(placement_command const& command, base::time_point now);

private:
    command_rate_limits m_settings;
    std::deque<base::time_point> m_load_times;
    std::map<placement_command, base::time_point> m_sent_at;
};

} // namespace jasminepier::placement
