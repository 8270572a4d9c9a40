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

int list(tool_settings const& settings)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(page, store.list("customer"));
            table output{{"name", "weight", "default_work_kind", "version"}, {}};
            for (auto const& object : page.objects)
            {
                BOOST_LEAF_AUTO(value, base::parse_json_object(object.value));
                BOOST_LEAF_AUTO(parsed, configuration::parse_customer(object.name, value));
                std::ostringstream weight;
                weight << parsed.weight;
                output.rows.push_back({parsed.name, weight.str(),
                                       std::string(to_string(parsed.default_work_kind)),
                                       std::to_string(object.version)});
            }
            write_table(std::cout, settings.format, output);
            return exit_success;
        });
}

/// Prints a generated API key after the write, since the store holds only its digest.
int create(tool_settings const& settings, customer_options const& options)
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
                write_and_report(settings, write_action::create,
                                 {"customer", options.name, 0, base::write_json(value), false});
            if (!key.empty() && (status == exit_success || status == exit_unknown))
                std::cout << "api key (shown only now): " << key << '\n';
            return status;
        });
}

int remove(tool_settings const& settings, customer_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(object, store.get("customer", options.name));
            object.version = expected_version(options.if_version, object.version);
            return write_and_report(settings, write_action::remove, object);
        });
}

void add_create_options(CLI::App& subcommand, customer_options& options)
{
    subcommand.add_option("name", options.name, "Name of the customer")->required();
    subcommand.add_option(
        "--key-digest", options.key_digest,
        "Digest of an existing API key; without this option a key is generated and shown");
    subcommand
        .add_option("--default-work-kind", options.work_kind,
                    "Work kind of requests that name none")
        ->capture_default_str();
    subcommand.add_option("--weight", options.weight, "Weight in the fair sharing of a full queue")
        ->capture_default_str();
}

} // namespace

void add_customer_commands(command_registry& registry)
{
    auto* group = registry.add_group("customer", "Customers and their API keys");
    registry.add_command<customer_options>(
        group, "list", "List the customers", [](CLI::App&, customer_options&) {},
        [](tool_settings const& settings, customer_options const&) { return list(settings); });
    registry.add_command<customer_options>(group, "create", "Add a customer", add_create_options,
                                           create);
    registry.add_command<customer_options>(
        group, "delete", "Delete a customer; its API key stops working",
        [](CLI::App& subcommand, customer_options& options)
        {
            subcommand.add_option("name", options.name, "Name of the customer")->required();
            subcommand.add_option("--if-version", options.if_version,
                                  "Delete only if the customer has this version");
        },
        remove);
}

} // namespace jasminepier::ctl
