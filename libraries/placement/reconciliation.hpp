/// Comparison of desired with reported models and roles.
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

/// The value of a `placement/<server>` object.
struct desired_placement
{
    std::vector<std::string> models;
    /// Empty leaves the server's role as it is.
    std::string role;
};
/// Fails with bad_request.
base::result<desired_placement> parse_placement(std::string const& text);

/// What a server last reported. Servers that do not report or are leaving are not listed.
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

struct placement_command
{
    std::string server;
    command_action action = command_action::load_model;
    std::string model;
    std::string role;

    auto operator<=>(placement_command const&) const = default;
};

/// Returns the orders that make the report equal to what is desired; unloads come first, because
/// the memory they free may be needed.
std::vector<placement_command> missing_commands(std::string const& server,
                                                desired_placement const& desired,
                                                reported_placement const& reported);

struct command_rate_limits
{
    /// Model loads started in any window; the weight store is rate-limited.
    std::size_t maximum_loads_per_window = 2;
    base::milliseconds load_window{10000};
    /// Reports lag and loads take time; an order is repeated only after this.
    base::milliseconds repeat_interval{30000};
};

/// Decides which orders may be sent now.
class command_rate_limiter
{
public:
    explicit command_rate_limiter(command_rate_limits settings) : m_settings(settings) {}

    /// Called when the lease is gained. The previous holder may have started loads just before.
    void reset(base::time_point now);
    /// Returns true and counts the order when it may be sent now.
    bool try_admit(placement_command const& command, base::time_point now);

private:
    command_rate_limits m_settings;
    std::deque<base::time_point> m_load_times;
    std::map<placement_command, base::time_point> m_sent_at;
};

} // namespace jasminepier::placement
