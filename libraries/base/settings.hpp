/// Settings of a program: command-line flags with matching environment variables.
#pragma once

#include "base/log.hpp"

#include <CLI/CLI.hpp>

#include <concepts>
#include <functional>
#include <iosfwd>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::base
{

/// Accepts numbers from `minimum` to `maximum`, both included.
template <class T>
CLI::Validator in_range(T minimum, T maximum)
{
    auto const allowed = std::to_string(minimum) + " to " + std::to_string(maximum);
    return CLI::Validator(
        [minimum, maximum, allowed](std::string& text)
        {
            T value{};
            bool const is_allowed =
                CLI::detail::lexical_cast(text, value) && value >= minimum && value <= maximum;
            return is_allowed ? std::string{} : "'" + text + "' is not allowed; use " + allowed;
        },
        allowed);
}

/// Accepts an IPv4 or IPv6 address. Host names are rejected, since nothing resolves them at
/// startup.
CLI::Validator ip_address();

/// Defines and parses the settings of a program. Adding the setting `listen-port` defines the flag
/// `--listen-port`, the environment variable `JASMINEPIER_LISTEN_PORT`, the line in `--help` and
/// the row in docs/settings.md.
class settings_parser
{
public:
    /// Returns an error message if the settings contradict each other.
    using constraint_check = std::function<std::optional<std::string>()>;

    settings_parser(std::string description, std::string const& program);

    /// Binds the flag `--name` and its environment variable to `variable`, whose current value is
    /// the default.
    template <class T>
    CLI::Option* add(std::string const& name, T& variable, std::string const& help)
    {
        auto* option = m_app.add_option("--" + name, variable, help)
                           ->envname(environment_name(name))
                           ->capture_default_str();
        if constexpr (std::integral<T> && !std::same_as<T, bool>)
            option->type_name("whole number")->check(parsable_as<T>());
        else if constexpr (std::floating_point<T>)
            option->type_name("number")->check(parsable_as<T>());
        else
            option->type_name("text");
        m_names.push_back(name);
        return option;
    }

    /// Binds a port number from 1 to 65535.
    CLI::Option* add_port(std::string const& name, std::uint16_t& variable,
                          std::string const& help);

    /// Adds a constraint on several settings. It is checked at every start and by --check-settings.
    void add_constraint(constraint_check check) { m_constraints.push_back(std::move(check)); }

    /// Adds the constraint that these ports differ. A port of 0 is unused and not compared.
    void require_distinct_ports(std::vector<std::pair<std::string, std::uint16_t const*>> ports);

    /// Parses the command line and the environment. Returns an exit status if the program must
    /// exit: 0 after --help, --version, --check-settings or --print-settings, and 2 after an
    /// invalid value or a violated constraint, which is reported in one line on standard error.
    std::optional<int> parse_command_line(int argc, char const* const* argv);

    /// Writes the table of settings in Markdown.
    void write_markdown_table(std::ostream& out) const;

    CLI::App& app() noexcept { return m_app; }
    log_level minimum_log_level() const;

    static std::string environment_name(std::string_view flag);

private:
    /// Rejects text that can't be parsed as T. CLI11 names the setting in its own conversion error,
    /// but doesn't say which values are allowed.
    template <class T>
    static CLI::Validator parsable_as()
    {
        return CLI::Validator(
            [](std::string& text)
            {
                T value{};
                if (CLI::detail::lexical_cast(text, value))
                    return std::string{};
                auto const kind = std::integral<T> ? "a whole number from " : "a number from ";
                return "'" + text + "' is not allowed; use " + kind +
                       std::to_string(std::numeric_limits<T>::lowest()) + " to " +
                       std::to_string(std::numeric_limits<T>::max());
            },
            "");
    }
    std::optional<std::string> first_violated_constraint() const;

    CLI::App m_app;
    std::string m_program;
    std::vector<std::string> m_names;
    std::vector<constraint_check> m_constraints;
    bool m_check_only = false;
    bool m_print_only = false;
    std::string m_log_level = "info";
};

} // namespace jasminepier::base
