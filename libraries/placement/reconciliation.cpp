#include "placement/reconciliation.hpp"

#include "base/json.hpp"

#include <algorithm>

namespace jasminepier::placement
{
namespace
{

bool contains(std::vector<std::string> const& list, std::string const& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

base::result<desired_placement> parse_placement(std::string const& text)
{
    BOOST_LEAF_AUTO(source, base::parse_json_object(text));
    desired_placement desired;
    BOOST_LEAF_ASSIGN(desired.models, base::read_string_list(source, "models"));
    BOOST_LEAF_ASSIGN(desired.role, base::read_string_or(source, "role", ""));
    return desired;
}

std::string_view to_string(command_action action) noexcept
{
    switch (action)
    {
    case command_action::load_model:
        return "load_model";
    case command_action::unload_model:
        return "unload_model";
    case command_action::set_role:
        break;
    }
    return "set_role";
}

std::vector<placement_command> missing_commands(std::string const& server,
                                                desired_placement const& desired,
                                                reported_placement const& reported)
{
    std::vector<placement_command> commands;
    for (auto const& model : reported.models)
        if (!contains(desired.models, model))
            commands.push_back({server, command_action::unload_model, model, ""});
    if (!desired.role.empty() && desired.role != reported.role)
        commands.push_back({server, command_action::set_role, "", desired.role});
    for (auto const& model : desired.models)
        if (!contains(reported.models, model))
            commands.push_back({server, command_action::load_model, model, ""});
    return commands;
}

void command_rate_limiter::reset(base::time_point now)
{
    m_sent_at.clear();
    m_load_times.assign(m_settings.maximum_loads_per_window, now);
}

bool command_rate_limiter::try_admit(placement_command const& command, base::time_point now)
{
    std::erase_if(m_sent_at, [&](auto const& entry)
                  { return now - entry.second >= m_settings.repeat_interval; });
    if (m_sent_at.contains(command))
        return false;
    if (command.action == command_action::load_model)
    {
        while (!m_load_times.empty() && now - m_load_times.front() >= m_settings.load_window)
            m_load_times.pop_front();
        if (m_load_times.size() >= m_settings.maximum_loads_per_window)
            return false;
        m_load_times.push_back(now);
    }
    m_sent_at[command] = now;
    return true;
}

} // namespace jasminepier::placement
