#include "base/settings.hpp"

#include <cctype>
#include <iostream>

namespace jasminepier::base
{

settings_parser::settings_parser(std::string description, std::string const& program)
    : m_app(std::move(description), program)
{
    m_app.set_version_flag("--version", program + " 0.1.0");
    m_app.add_flag("--check-settings", m_check_only, "Check the settings and exit");
    add("log-level", m_log_level, "Lowest level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
}

std::optional<int> settings_parser::try_parse(int argc, char const* const* argv)
{
    try
    {
        m_app.parse(argc, argv);
    }
    catch (CLI::ParseError const& failure)
    {
        return m_app.exit(failure) == 0 ? 0 : 2;
    }
    if (m_check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    return std::nullopt;
}

log_level settings_parser::level() const
{
    if (m_log_level == "debug")
        return log_level::debug;
    if (m_log_level == "warning")
        return log_level::warning;
    return m_log_level == "error" ? log_level::error : log_level::info;
}

std::string settings_parser::environment_name(std::string_view flag)
{
    std::string name = "JASMINEPIER_";
    for (char c : flag)
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    return name;
}

} // namespace jasminepier::base
