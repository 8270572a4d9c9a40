#include "configuration/types.hpp"

#include "base/hash.hpp"

#include <cmath>
#include <set>

namespace jasminepier::configuration
{
namespace
{

using base::error_kind;

constexpr std::array<std::string_view, work_kind_count> kind_names{"proposal", "question", "bulk",
                                                                   "action", "lookup"};

boost::leaf::error_id out_of_range(std::string const& member, std::string const& allowed)
{
    return base::fail(error_kind::bad_request, "member '" + member + "' must be " + allowed);
}

base::result<void> reject_unknown_members(base::json_object const& source,
                                          std::set<std::string> const& allowed)
{
    for (auto const& member : source->getNames())
        if (!allowed.contains(member))
            return base::fail(error_kind::bad_request, "unknown member '" + member + "'");
    return {};
}

base::result<double> read_fraction(base::json_object const& source, std::string const& name,
                                   double fallback)
{
    BOOST_LEAF_AUTO(value, base::read_number_or(source, name, fallback));
    if (!std::isfinite(value) || value < 0 || value > 1)
        return out_of_range(name, "between 0 and 1");
    return value;
}

base::result<int> read_integer_in_range(base::json_object const& source, std::string const& name,
                                        int fallback, int minimum, int maximum)
{
    BOOST_LEAF_AUTO(value, base::read_integer_or(source, name, fallback));
    if (value < minimum || value > maximum)
        return out_of_range(name,
                            "from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return static_cast<int>(value);
}

base::result<std::uint16_t> read_port(base::json_object const& source, std::string const& name)
{
    BOOST_LEAF_AUTO(value, base::read_integer(source, name));
    if (value < 1 || value > 65535)
        return out_of_range(name, "a port from 1 to 65535");
    return static_cast<std::uint16_t>(value);
}

base::result<bool> read_leaving(base::json_object const& source)
{
    BOOST_LEAF_AUTO(state, base::read_string_or(source, "state", "live"));
    if (state != "live" && state != "leaving")
        return out_of_range("state", "live or leaving");
    return state == "leaving";
}

base::result<kind_limits> parse_kind_limits(base::json_object const& source, kind_limits limits)
{
    BOOST_LEAF_CHECK(reject_unknown_members(
        source, {"rank", "maximum_wait_milliseconds", "maximum_queued", "reserved_share"}));
    BOOST_LEAF_ASSIGN(limits.rank, read_integer_in_range(source, "rank", limits.rank, 0, 9));
    BOOST_LEAF_ASSIGN(limits.maximum_wait_milliseconds,
                      read_integer_in_range(source, "maximum_wait_milliseconds",
                                            limits.maximum_wait_milliseconds, 0, 3600000));
    BOOST_LEAF_ASSIGN(
        limits.maximum_queued,
        read_integer_in_range(source, "maximum_queued", limits.maximum_queued, 0, 100000));
    BOOST_LEAF_ASSIGN(limits.reserved_share,
                      read_fraction(source, "reserved_share", limits.reserved_share));
    return limits;
}

base::result<void> parse_kinds(base::json_object const& source, preset& parsed)
{
    if (!source->has("kinds"))
        return {};
    BOOST_LEAF_AUTO(kinds, base::read_object(source, "kinds"));
    for (auto const& name : kinds->getNames())
    {
        BOOST_LEAF_AUTO(kind, parse_work_kind(name));
        BOOST_LEAF_AUTO(limits_source, base::read_object(kinds, name));
        auto& limits = parsed.kinds[static_cast<std::size_t>(kind)];
        BOOST_LEAF_ASSIGN(limits, parse_kind_limits(limits_source, limits));
    }
    double reserved = 0;
    for (auto const& limits : parsed.kinds)
        reserved += limits.reserved_share;
    if (reserved > parsed.fill_limit)
        return base::fail(error_kind::bad_request,
                          "the sum of the reserved shares exceeds fill_limit");
    return {};
}

} // namespace

std::string_view to_string(work_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

base::result<work_kind> parse_work_kind(std::string_view name)
{
    for (std::size_t i = 0; i < kind_names.size(); ++i)
        if (kind_names[i] == name)
            return static_cast<work_kind>(i);
    return base::fail(error_kind::bad_request, "unknown work kind '" + std::string(name) +
                                                   "'; use proposal, question, bulk, action or "
                                                   "lookup");
}

base::result<preset> parse_preset(std::string name, base::json_object const& source)
{
    BOOST_LEAF_CHECK(reject_unknown_members(
        source, {"fill_limit", "margin_deviations", "candidates", "maximum_output_tokens",
                 "retry_budget", "hedge_budget", "proposal_delivery", "kinds"}));
    preset parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_ASSIGN(parsed.fill_limit, read_fraction(source, "fill_limit", parsed.fill_limit));
    if (parsed.fill_limit < 0.1)
        return out_of_range("fill_limit", "at least 0.1, or servers would stay idle");
    BOOST_LEAF_ASSIGN(parsed.margin_deviations,
                      base::read_number_or(source, "margin_deviations", parsed.margin_deviations));
    if (!std::isfinite(parsed.margin_deviations) || parsed.margin_deviations < 0 ||
        parsed.margin_deviations > 10)
        return out_of_range("margin_deviations", "between 0 and 10");
    BOOST_LEAF_ASSIGN(parsed.candidates,
                      read_integer_in_range(source, "candidates", parsed.candidates, 1, 16));
    BOOST_LEAF_ASSIGN(parsed.maximum_output_tokens,
                      read_integer_in_range(source, "maximum_output_tokens",
                                            parsed.maximum_output_tokens, 1, 1000000));
    BOOST_LEAF_ASSIGN(parsed.retry_budget,
                      read_fraction(source, "retry_budget", parsed.retry_budget));
    BOOST_LEAF_ASSIGN(parsed.hedge_budget,
                      read_fraction(source, "hedge_budget", parsed.hedge_budget));
    BOOST_LEAF_AUTO(delivery, base::read_string_or(source, "proposal_delivery", "held"));
    if (delivery != "held" && delivery != "streamed")
        return out_of_range("proposal_delivery", "held or streamed");
    parsed.delivery = delivery == "held" ? proposal_delivery::held : proposal_delivery::streamed;
    BOOST_LEAF_CHECK(parse_kinds(source, parsed));
    return parsed;
}

base::json_object to_json(preset const& value)
{
    base::json_object kinds = new Poco::JSON::Object;
    for (std::size_t i = 0; i < work_kind_count; ++i)
    {
        auto const& limits = value.kinds[i];
        base::json_object entry = new Poco::JSON::Object;
        entry->set("rank", limits.rank);
        entry->set("maximum_wait_milliseconds", limits.maximum_wait_milliseconds);
        entry->set("maximum_queued", limits.maximum_queued);
        entry->set("reserved_share", limits.reserved_share);
        kinds->set(std::string(kind_names[i]), entry);
    }
    base::json_object document = new Poco::JSON::Object;
    document->set("fill_limit", value.fill_limit);
    document->set("margin_deviations", value.margin_deviations);
    document->set("candidates", value.candidates);
    document->set("maximum_output_tokens", value.maximum_output_tokens);
    document->set("retry_budget", value.retry_budget);
    document->set("hedge_budget", value.hedge_budget);
    document->set("proposal_delivery",
                  value.delivery == proposal_delivery::held ? "held" : "streamed");
    document->set("kinds", kinds);
    return document;
}

base::result<zone> parse_zone(std::string name, base::json_object const& source)
{
    zone parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_ASSIGN(parsed.region, base::read_string(source, "region"));
    BOOST_LEAF_AUTO(state, base::read_string_or(source, "state", "in_service"));
    if (state != "in_service" && state != "out_of_service")
        return out_of_range("state", "in_service or out_of_service");
    parsed.state = state == "in_service" ? zone_state::in_service : zone_state::out_of_service;
    return parsed;
}

base::json_object to_json(zone const& value)
{
    base::json_object document = new Poco::JSON::Object;
    document->set("region", value.region);
    document->set("state", value.state == zone_state::in_service ? "in_service" : "out_of_service");
    return document;
}

base::result<service> parse_service(std::string name, base::json_object const& source)
{
    service parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_AUTO(type, base::read_string(source, "type"));
    if (type != "model" && type != "plain")
        return out_of_range("type", "model or plain");
    parsed.type = type == "model" ? service_type::model : service_type::plain;
    BOOST_LEAF_ASSIGN(parsed.models, base::read_string_list(source, "models"));
    BOOST_LEAF_ASSIGN(parsed.non_repeatable_prefixes,
                      base::read_string_list(source, "non_repeatable_prefixes"));
    return parsed;
}

base::result<customer> parse_customer(std::string name, base::json_object const& source)
{
    customer parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_ASSIGN(parsed.api_key_sha256, base::read_string(source, "api_key_sha256"));
    BOOST_LEAF_ASSIGN(parsed.weight, base::read_number_or(source, "weight", 1));
    if (!std::isfinite(parsed.weight) || parsed.weight <= 0 || parsed.weight > 1000)
        return out_of_range("weight", "above 0 and at most 1000");
    BOOST_LEAF_AUTO(kind, base::read_string_or(source, "default_work_kind", "question"));
    BOOST_LEAF_ASSIGN(parsed.default_work_kind, parse_work_kind(kind));
    return parsed;
}

base::result<node> parse_node(std::string name, base::json_object const& source)
{
    node parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_ASSIGN(parsed.zone, base::read_string(source, "zone"));
    BOOST_LEAF_ASSIGN(parsed.host, base::read_string(source, "host"));
    BOOST_LEAF_ASSIGN(parsed.gossip_port, read_port(source, "gossip_port"));
    BOOST_LEAF_ASSIGN(parsed.control_port, read_port(source, "control_port"));
    BOOST_LEAF_ASSIGN(parsed.entry_port, read_port(source, "entry_port"));
    BOOST_LEAF_ASSIGN(parsed.entry_peer_port, read_port(source, "entry_peer_port"));
    BOOST_LEAF_ASSIGN(parsed.leaving, read_leaving(source));
    return parsed;
}

base::result<server> parse_server(std::string name, base::json_object const& source)
{
    server parsed;
    parsed.name = std::move(name);
    BOOST_LEAF_ASSIGN(parsed.service, base::read_string(source, "service"));
    BOOST_LEAF_ASSIGN(parsed.zone, base::read_string(source, "zone"));
    BOOST_LEAF_ASSIGN(parsed.host, base::read_string(source, "host"));
    BOOST_LEAF_ASSIGN(parsed.port, read_port(source, "port"));
    BOOST_LEAF_ASSIGN(parsed.leaving, read_leaving(source));
    return parsed;
}

std::string api_key_digest(std::string_view api_key)
{
    return base::sha256_hex({"api-key", api_key});
}

} // namespace jasminepier::configuration
