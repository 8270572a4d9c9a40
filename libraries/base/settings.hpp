/// Command-line flags and environment variables of a program, defined together.
#pragma once

#include "base/log.hpp"

#include <CLI/CLI.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jasminepier::base
{

/// Wraps CLI11 so that `--listen-port` is also read from `JASMINEPIER_LISTEN_PORT`.
class settings_parser
{
public:
    settings_parser(std::string description, std::string const& program);

    /// Binds flag `--name` and its environment variable to `variable`, whose value is the default.
    template <class T>
    CLI::Option* add(std::string const& name, T& variable, std::string const& help)
    {
        return m_app.add_option("--" + name, variable, help)
            ->envname(environment_name(name))
            ->capture_default_str();
    }

    /// Parses the command line. Returns an exit status when the program must stop: 0 after --help,
    /// --version or --check-settings, 2 after a bad value, which is named on standard error.
    std::optional<int> try_parse(int argc, char const* const* argv);

    CLI::App& app() noexcept { return m_app; }
    log_level level() const;

    static std::string environment_name(std::string_view flag);

private:
    CLI::App m_app;
    bool m_check_only = false;
    std::string m_log_level = "info";
};

} // namespace jasminepier::base
