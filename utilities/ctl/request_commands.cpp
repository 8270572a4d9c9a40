/// `request show ID`.
#include "backend/http_exchange.hpp"
#include "utilities/ctl/fleet.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

/// Longest record that is read from an entry VM, bytes.
constexpr std::size_t maximum_record_bytes = 1U << 20U;

enum class search_result
{
    found,
    absent,
    no_answer,
};

search_result ask_entry(context const& current, configuration::node const& node,
                        std::string const& id, std::string& record)
{
    std::chrono::milliseconds const timeout(current.node_timeout_milliseconds);
    backend::backend_request const request{
        "GET", "/v1/requests/" + id, {{"Authorization", "Bearer " + current.api_key}}, ""};
    return base::handle(
        [&]() -> base::result<search_result>
        {
            BOOST_LEAF_AUTO(answer,
                            backend::call_backend({node.host, node.entry_port}, request,
                                                  {timeout, timeout}, maximum_record_bytes));
            if (answer.status == 401)
                return base::fail(base::error_kind::unauthorized, "unauthorized");
            record = answer.body;
            return answer.status == 200 ? search_result::found : search_result::absent;
        },
        [](base::error const&) { return search_result::no_answer; });
}

base::result<int> print_record(context const& current, std::string const& node,
                               std::string const& record)
{
    BOOST_LEAF_AUTO(document, base::parse_json_object(record));
    document->set("node", node);
    document->stringify(std::cout, current.format == output_format::json ? 0 : 2);
    std::cout << '\n';
    return exit_done;
}

int show(context const& current, std::string const& id)
{
    return run_command(
        [&]() -> base::result<int>
        {
            if (id.empty() || id.find_first_not_of("0123456789abcdefABCDEF-") != std::string::npos)
                return base::fail(base::error_kind::bad_request,
                                  "'" + id + "' is not a request id");
            if (current.api_key.empty())
                return base::fail(base::error_kind::bad_request,
                                  "an entry VM shows a request only to its customer; set "
                                  "JASMINEPIER_API_KEY or --api-key");
            BOOST_LEAF_AUTO(views, ask_nodes(current));
            std::string silent;
            for (auto const& view : views)
            {
                std::string record;
                auto const found = ask_entry(current, view.node, id, record);
                if (found == search_result::found)
                    return print_record(current, view.node.name, record);
                if (found == search_result::no_answer)
                    silent += " " + view.node.name;
            }
            return base::fail(base::error_kind::not_found,
                              "no entry VM has a record of request " + id +
                                  (silent.empty() ? "" : "; no answer from" + silent));
        });
}

} // namespace

void add_request_commands(command_line& line)
{
    line.add_command<std::string>(
        line.add_group("request", "Requests served lately"), "show",
        "Ask every entry VM how it decided on a request",
        [](CLI::App& added, std::string& id)
        { added.add_option("id", id, "Value of the answer's X-Request-Id header")->required(); },
        show);
}

} // namespace jasminepier::ctl
