/// Command-line flags and environment variables of a program, defined together.
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

/// Accepts numbers from `lowest` to `highest`.
template <class T>
CLI::Validator in_range(T lowest, T highest)
{
    auto const allowed = std::to_string(lowest) + " to " + std::to_string(highest);
    return CLI::Validator(
        [lowest, highest, allowed](std::string& text)
        {
            T value{};
            bool const inside =
                CLI::detail::lexical_cast(text, value) && value >= lowest && value <= highest;
            return inside ? std::string{} : "'" + text + "' is not allowed; use " + allowed;
        },
        allowed);
}

/// Accepts an IPv4 or IPv6 address; names are not resolved at the start of a program.
CLI::Validator ip_address();

/// The table of a program's settings. One definition of a setting gives the flag `--listen-port`,
/// the variable `JASMINEPIER_LISTEN_PORT`, its line in `--help` and its row in docs/settings.md.
class settings_parser
{
public:
    /// Returns a sentence when the settings contradict each other, and nothing otherwise.
    using constraint = std::function<std::optional<std::string>()>;

    settings_parser(std::string description, std::string const& program);

    /// Binds flag `--name` and its environment variable to `variable`, whose value is the default.
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

    /// Binds a port, 1 to 65535.
    CLI::Option* add_port(std::string const& name, std::uint16_t& variable,
                          std::string const& help);

    /// Adds a rule about several settings; it is checked at every start and by --check-settings.
    void add_constraint(constraint rule) { m_constraints.push_back(std::move(rule)); }

    /// Adds the rule that these ports differ; a port of 0 is not used.
    void require_distinct_ports(std::vector<std::pair<std::string, std::uint16_t const*>> ports);

    /// Parses the command line. Returns an exit status when the program must stop: 0 after --help,
    /// --version, --check-settings or --print-settings, 2 after a bad value or a broken rule, which
    /// is named in one line on standard error.
    std::optional<int> parse_command_line(int argc, char const* const* argv);

    /// Writes the table in Markdown.
    void write_markdown_table(std::ostream& out) const;

    CLI::App& app() noexcept { return m_app; }
    log_level minimum_log_level() const;

    static std::string environment_name(std::string_view flag);

private:
    /// Refuses text that is not a value of type T. CLI11 names the setting in the error, but a
    /// failed conversion alone would not say what is allowed.
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
    std::vector<constraint> m_constraints;
    bool m_check_only = false;
    bool m_print_only = false;
    std::string m_log_level = "info";
};

} // namespace jasminepier::base
