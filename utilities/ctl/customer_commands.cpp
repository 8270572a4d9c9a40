/// `customer list|create|delete`.
#include "base/hash.hpp"
#include "configuration/types.hpp"
#include "utilities/ctl/conditional_write.hpp"
#include "utilities/ctl/input.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

struct customer_options
{
    std::string name;
    std::string key_digest;
    std::string work_kind = "question";
    double weight = 1;
    std::optional<std::int64_t> if_version;
};

int list(context const& current)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(page, store.list("customer"));
            table rows{{"name", "weight", "default_work_kind", "version"}, {}};
            for (auto const& held : page.objects)
            {
                BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
                BOOST_LEAF_AUTO(parsed, configuration::parse_customer(held.name, value));
                std::ostringstream weight;
                weight << parsed.weight;
                rows.rows.push_back({parsed.name, weight.str(),
                                     std::string(to_string(parsed.default_work_kind)),
                                     std::to_string(held.version)});
            }
            write(std::cout, current.format, rows);
            return exit_done;
        });
}

/// The store holds only the digest, so a generated key is shown once, after the write.
int create(context const& current, customer_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_CHECK(check_name(options.name));
            std::string const key =
                options.key_digest.empty() ? base::random_id() + base::random_id() : std::string();
            base::json_object value = new Poco::JSON::Object;
            value->set("api_key_sha256",
                       key.empty() ? options.key_digest : configuration::api_key_digest(key));
            value->set("default_work_kind", options.work_kind);
            value->set("weight", options.weight);
            BOOST_LEAF_CHECK(configuration::parse_customer(options.name, value));
            auto const status =
                write_and_report(current, write_action::create,
                                 {"customer", options.name, 0, base::write_json(value), false});
            if (!key.empty() && (status == exit_done || status == exit_unknown))
                std::cout << "api key (shown only now): " << key << '\n';
            return status;
        });
}

int remove(context const& current, customer_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(held, store.get("customer", options.name));
            held.version = expected_version(options.if_version, held.version);
            return write_and_report(current, write_action::remove, held);
        });
}

void bind_create(CLI::App& added, customer_options& options)
{
    added.add_option("name", options.name, "Name of the customer")->required();
    added.add_option("--key-digest", options.key_digest,
                     "Digest of an existing API key; without it a key is generated and shown");
    added.add_option("--default-work-kind", options.work_kind, "Kind of requests that name none")
        ->capture_default_str();
    added.add_option("--weight", options.weight, "Share of a crowded queue")->capture_default_str();
}

} // namespace

void add_customer_commands(command_line& line)
{
    auto* group = line.add_group("customer", "Customers and their API keys");
    line.add_command<customer_options>(
        group, "list", "List the customers", [](CLI::App&, customer_options&) {},
        [](context const& current, customer_options const&) { return list(current); });
    line.add_command<customer_options>(group, "create", "Add a customer", bind_create, create);
    line.add_command<customer_options>(
        group, "delete", "Delete a customer; its API key stops working",
        [](CLI::App& added, customer_options& options)
        {
            added.add_option("name", options.name, "Name of the customer")->required();
            added.add_option("--if-version", options.if_version,
                             "Delete only while the customer has this version");
        },
        remove);
}

} // namespace jasminepier::ctl
