/// Fuzzes the parser of settings. Each line of the input is a command-line argument.
#include "base/settings.hpp"

#include "fuzz/harness.hpp"

#include <iostream>
#include <sstream>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    using namespace jasminepier;
    std::istringstream in{std::string(fuzz::as_text(data, size))};
    std::vector<std::string> arguments{"program"};
    for (std::string line; std::getline(in, line) && arguments.size() < 16;)
        arguments.push_back(line.substr(0, line.find('\0')));
    std::vector<char const*> argument_pointers;
    argument_pointers.reserve(arguments.size());
    for (auto const& argument : arguments)
        argument_pointers.push_back(argument.c_str());
    std::string host = "127.0.0.1";
    std::uint16_t port = 1;
    std::uint16_t other_port = 2;
    double fraction = 0.5;
    int count = 3;
    base::settings_parser parser("Under test", "program");
    parser.add("host", host, "Host")->check(base::ip_address());
    parser.add_port("port", port, "Port");
    parser.add_port("other-port", other_port, "Other port");
    parser.add("share", fraction, "Share")->check(base::in_range(0.0, 1.0));
    parser.add("count", count, "Count")->check(base::in_range(1, 10));
    parser.require_distinct_ports({{"port", &port}, {"other-port", &other_port}});
    std::ostringstream output;
    auto* const original_output_buffer = std::cout.rdbuf(output.rdbuf());
    std::ostringstream errors;
    auto* const original_error_buffer = std::cerr.rdbuf(errors.rdbuf());
    auto const status = parser.parse_command_line(static_cast<int>(argument_pointers.size()),
                                                  argument_pointers.data());
    std::cout.rdbuf(original_output_buffer);
    std::cerr.rdbuf(original_error_buffer);
    auto const message = errors.str();
    fuzz::require(!status || *status == 0 || *status == 2);
    if (!status)
        fuzz::require(port >= 1 && port != other_port && fraction >= 0 && fraction <= 1 &&
                      count >= 1 && count <= 10);
    if (status == 2)
        fuzz::require(message.find('\n') == message.size() - 1);
    return 0;
}
