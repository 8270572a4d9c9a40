/// Entry point of the operator tool.
#include "base/settings.hpp"
#include "utilities/ctl/command_line.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace jasminepier;

void add_settings(base::settings_parser& parser, ctl::tool_settings& settings, std::string& format)
{
    parser.add("platform-host", settings.platform.host, "IP address of the platform's object API")
        ->check(base::ip_address());
    parser.add_port("platform-port", settings.platform.port, "Port of the platform's object API");
    parser.add("output", format, "Format of lists and results on standard output")
        ->check(CLI::Validator(
            [](std::string& text)
            {
                bool const is_valid = text == "table" || text == "json";
                return is_valid ? std::string{}
                                : "'" + text + "' is not allowed; use table or json";
            },
            "table or json"));
    parser.add("api-key", settings.api_key, "API key of the customer, for request show");
    parser
        .add("node-timeout-milliseconds", settings.node_timeout_milliseconds,
             "Timeout of a query to one entry VM, milliseconds")
        ->check(base::in_range<std::int64_t>(50, 60000));
}

} // namespace

int main(int argc, char** argv)
{
    // SIGINT keeps its default action and ends the tool at once. SIGPIPE is ignored, so that
    // writing to a closed pipe fails as a stream error.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    base::settings_parser parser("Operator tool of jasminepier", "jasminepierctl");
    ctl::tool_settings settings;
    settings.platform.port = 9000;
    std::string format = "table";
    add_settings(parser, settings, format);
    ctl::command_registry registry{parser.app(), {}};
    ctl::add_preset_commands(registry);
    ctl::add_zone_commands(registry);
    ctl::add_node_commands(registry);
    ctl::add_customer_commands(registry);
    ctl::add_request_commands(registry);
    ctl::add_wait_command(registry);
    ctl::add_object_commands(registry);
    ctl::add_configuration_commands(registry);
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    if (!registry.selected_command)
    {
        std::cerr << "jasminepierctl: a command is required; see --help\n";
        return ctl::exit_usage;
    }
    base::configure_logging(parser.minimum_log_level());
    settings.format = format == "json" ? ctl::output_format::json : ctl::output_format::table;
    return registry.selected_command(settings);
}
