/// The operator command line.
#include "base/settings.hpp"
#include "utilities/ctl/command_line.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace jasminepier;

void add_settings(base::settings_parser& parser, ctl::context& current, std::string& format)
{
    parser.add("platform-host", current.platform.host, "IP address of the platform's object API")
        ->check(base::ip_address());
    parser.add_port("platform-port", current.platform.port, "Port of the platform's object API");
    parser.add("output", format, "Form of lists and results on standard output")
        ->check(CLI::Validator(
            [](std::string& text)
            {
                bool const known = text == "table" || text == "json";
                return known ? std::string{} : "'" + text + "' is not allowed; use table or json";
            },
            "table or json"));
    parser.add("api-key", current.api_key, "API key of the customer, for request show");
    parser
        .add("node-timeout-milliseconds", current.node_timeout_milliseconds,
             "Longest wait for the answer of one entry VM, milliseconds")
        ->check(base::in_range<std::int64_t>(50, 60000));
}

} // namespace

int main(int argc, char** argv)
{
    // An operator's interrupt ends the tool at once; a closed pipe is reported by the stream.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    base::settings_parser parser("Operator tool of jasminepier", "jasminepierctl");
    ctl::context current;
    current.platform.port = 9000;
    std::string format = "table";
    add_settings(parser, current, format);
    ctl::command_line line{parser.app(), {}};
    ctl::add_preset_commands(line);
    ctl::add_zone_commands(line);
    ctl::add_node_commands(line);
    ctl::add_customer_commands(line);
    ctl::add_request_commands(line);
    ctl::add_wait_command(line);
    ctl::add_object_commands(line);
    if (auto status = parser.parse_command_line(argc, argv))
        return *status;
    if (!line.chosen)
    {
        std::cerr << "jasminepierctl: a command is required; see --help\n";
        return ctl::exit_usage;
    }
    base::configure_logging(parser.minimum_log_level());
    current.format = format == "json" ? ctl::output_format::json : ctl::output_format::table;
    return line.chosen(current);
}
