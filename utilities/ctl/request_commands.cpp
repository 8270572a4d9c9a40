/// `request show ID`.
#include "backend/http_exchange.hpp"
#include "utilities/ctl/fleet.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

/// Maximum size of a request record read from an entry VM, bytes.
constexpr std::size_t maximum_record_bytes = 1U << 20U;

enum class search_result
{
    found,
    not_found,
    no_response,
};

search_result query_node_for_record(tool_settings const& settings, configuration::node const& node,
                                    std::string const& id, std::string& record)
{
    std::chrono::milliseconds const timeout(settings.node_timeout_milliseconds);
    backend::backend_request const request{
        "GET", "/v1/requests/" + id, {{"Authorization", "Bearer " + settings.api_key}}, ""};
    return base::handle(
        [&]() -> base::result<search_result>
        {
            BOOST_LEAF_AUTO(response,
                            backend::call_backend({node.host, node.entry_port}, request,
                                                  {timeout, timeout}, maximum_record_bytes));
            if (response.status == 401)
                return base::fail(base::error_kind::unauthorized, "unauthorized");
            record = response.body;
            return response.status == 200 ? search_result::found : search_result::not_found;
        },
        [](base::error const&) { return search_result::no_response; });
}

base::result<int> print_record(tool_settings const& settings, std::string const& node,
                               std::string const& record)
{
    BOOST_LEAF_AUTO(document, base::parse_json_object(record));
    document->set("node", node);
    document->stringify(std::cout, settings.format == output_format::json ? 0 : 2);
    std::cout << '\n';
    return exit_success;
}

int show(tool_settings const& settings, std::string const& id)
{
    return run_command(
        [&]() -> base::result<int>
        {
            if (id.empty() || id.find_first_not_of("0123456789abcdefABCDEF-") != std::string::npos)
                return base::fail(base::error_kind::bad_request,
                                  "'" + id + "' is not a request id");
            if (settings.api_key.empty())
                return base::fail(base::error_kind::bad_request,
                                  "an entry VM shows a request only to its customer; set "
                                  "JASMINEPIER_API_KEY or --api-key");
            BOOST_LEAF_AUTO(results, query_nodes(settings));
            std::string unresponsive_nodes;
            for (auto const& result : results)
            {
                std::string record;
                auto const outcome = query_node_for_record(settings, result.node, id, record);
                if (outcome == search_result::found)
                    return print_record(settings, result.node.name, record);
                if (outcome == search_result::no_response)
                    unresponsive_nodes += " " + result.node.name;
            }
            return base::fail(
                base::error_kind::not_found,
                "no entry VM has a record of request " + id +
                    (unresponsive_nodes.empty() ? "" : "; no response from" + unresponsive_nodes));
        });
}

} // namespace

void add_request_commands(command_registry& registry)
{
    registry.add_command<std::string>(
        registry.add_group("request", "Recently served requests"), "show",
        "Print the record of a request from the entry VM that served it",
        [](CLI::App& subcommand, std::string& id)
        {
            subcommand.add_option("id", id, "Value of the X-Request-Id header of the response")
                ->required();
        },
        show);
}

} // namespace jasminepier::ctl
