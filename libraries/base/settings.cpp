#include "base/settings.hpp"

#include <arpa/inet.h>
#include <cctype>
#include <iostream>

namespace jasminepier::base
{
namespace
{

/// Replaces control characters by spaces, so that an error message stays on one line.
std::string without_control_characters(std::string text)
{
    for (char& c : text)
        if (static_cast<unsigned char>(c) < 0x20)
            c = ' ';
    return text;
}

std::string allowed_values(CLI::Option const& option)
{
    // CLI11 joins the type name and the descriptions of the validators with colons.
    std::string text;
    for (char c : option.get_type_name())
        text += c == ':' ? std::string(", ") : std::string(1, c);
    return text;
}

std::string escape_table_cell(std::string const& text)
{
    std::string escaped;
    for (char c : text)
        escaped += c == '|' ? std::string("\\|") : std::string(1, c);
    return escaped;
}

} // namespace

CLI::Validator ip_address()
{
    return CLI::Validator(
        [](std::string& text)
        {
            unsigned char parsed[sizeof(in6_addr)];
            bool const valid = inet_pton(AF_INET, text.c_str(), parsed) == 1 ||
                               inet_pton(AF_INET6, text.c_str(), parsed) == 1;
            return valid ? std::string{} : "'" + text + "' is not allowed; use an IP address";
        },
        "IP address");
}

settings_parser::settings_parser(std::string description, std::string const& program)
    : m_app(std::move(description), program), m_program(program)
{
    m_app.set_version_flag("--version", program + " 0.1.0");
    m_app.add_flag("--check-settings", m_check_only,
                   "Check the settings and the constraints between them, and exit");
    m_app.add_flag_callback(
        "--print-settings",
        [this]
        {
            m_print_only = true;
            throw CLI::Success();
        },
        "Print the table of settings in Markdown and exit");
    add("log-level", m_log_level, "Lowest level that is logged")
        ->check(CLI::Validator(
            [](std::string& text)
            {
                bool const valid =
                    text == "debug" || text == "info" || text == "warning" || text == "error";
                return valid ? std::string{}
                             : "'" + text + "' is not allowed; use debug, info, warning or error";
            },
            "debug, info, warning or error"));
}

CLI::Option* settings_parser::add_port(std::string const& name, std::uint16_t& variable,
                                       std::string const& help)
{
    return add(name, variable, help)->check(in_range<std::int64_t>(1, 65535));
}

void settings_parser::require_distinct_ports(
    std::vector<std::pair<std::string, std::uint16_t const*>> ports)
{
    add_constraint(
        [ports = std::move(ports)]() -> std::optional<std::string>
        {
            for (std::size_t i = 0; i < ports.size(); ++i)
                for (std::size_t j = i + 1; j < ports.size(); ++j)
                    if (*ports[i].second != 0 && *ports[i].second == *ports[j].second)
                        return "--" + ports[i].first + " and --" + ports[j].first + " are both " +
                               std::to_string(*ports[i].second) + "; use different ports";
            return std::nullopt;
        });
}

std::optional<int> settings_parser::parse_command_line(int argc, char const* const* argv)
{
    try
    {
        m_app.parse(argc, argv);
    }
    catch (CLI::ParseError const& failure)
    {
        if (m_print_only)
        {
            write_markdown_table(std::cout);
            return 0;
        }
        if (failure.get_exit_code() == 0)
            return m_app.exit(failure);
        bool const bad_value = dynamic_cast<CLI::ValidationError const*>(&failure) != nullptr ||
                               dynamic_cast<CLI::ConversionError const*>(&failure) != nullptr;
        std::cerr << m_program << (bad_value ? ": invalid setting " : ": ")
                  << without_control_characters(failure.what()) << '\n';
        return 2;
    }
    if (auto const violation = first_violated_constraint())
    {
        std::cerr << m_program << ": invalid settings: " << without_control_characters(*violation)
                  << '\n';
        return 2;
    }
    if (m_check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    return std::nullopt;
}

std::optional<std::string> settings_parser::first_violated_constraint() const
{
    for (auto const& constraint : m_constraints)
        if (auto violation = constraint())
            return violation;
    return std::nullopt;
}

void settings_parser::write_markdown_table(std::ostream& out) const
{
    out << "## " << m_program << "\n\n| Flag | Environment variable | Default | Allowed | Meaning "
        << "|\n|---|---|---|---|---|\n";
    for (auto const& name : m_names)
    {
        auto const* option = m_app.get_option("--" + name);
        auto const default_value = option->get_default_str();
        out << "| `--" << name << "` | `" << environment_name(name) << "` | "
            << (default_value.empty() ? "(none)" : "`" + escape_table_cell(default_value) + "`")
            << " | " << escape_table_cell(allowed_values(*option)) << " | "
            << escape_table_cell(option->get_description()) << " |\n";
    }
}

log_level settings_parser::minimum_log_level() const
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
