#include "backend/load_report.hpp"

#include "base/json.hpp"

namespace jasminepier::backend
{
namespace
{

base::result<int> read_count(base::json_object const& document, std::string const& name)
{
    BOOST_LEAF_AUTO(value, base::read_integer_or(document, name, 0));
    if (value < 0 || value > 1'000'000'000)
        return base::fail(base::error_kind::bad_request, "member '" + name + "' is out of range");
    return static_cast<int>(value);
}

base::result<std::int64_t> read_tokens(base::json_object const& document, std::string const& name)
{
    BOOST_LEAF_AUTO(value, base::read_integer_or(document, name, 0));
    if (value < 0)
        return base::fail(base::error_kind::bad_request, "member '" + name + "' is negative");
    return value;
}

base::result<server_state> read_state(base::json_object const& document)
{
    BOOST_LEAF_AUTO(state, base::read_string_or(document, "state", "warm"));
    if (state == "cold")
        return server_state::cold;
    if (state == "warm")
        return server_state::warm;
    if (state == "leaving")
        return server_state::leaving;
    return base::fail(base::error_kind::bad_request, "unknown server state '" + state + "'");
}

} // namespace

base::result<load_report> parse_load_report(std::string_view text)
{
    BOOST_LEAF_AUTO(document, base::parse_json_object(text));
    load_report report;
    BOOST_LEAF_ASSIGN(report.instance, base::read_string(document, "instance"));
    BOOST_LEAF_ASSIGN(report.state, read_state(document));
    BOOST_LEAF_ASSIGN(report.running, read_count(document, "running"));
    BOOST_LEAF_ASSIGN(report.waiting, read_count(document, "waiting"));
    BOOST_LEAF_ASSIGN(report.kv_used_tokens, read_tokens(document, "kv_used_tokens"));
    BOOST_LEAF_ASSIGN(report.kv_capacity_tokens, read_tokens(document, "kv_capacity_tokens"));
    BOOST_LEAF_ASSIGN(report.cold_capacity, read_count(document, "cold_capacity"));
    BOOST_LEAF_ASSIGN(report.max_running, read_count(document, "max_running"));
    BOOST_LEAF_ASSIGN(report.preemptions, read_tokens(document, "preemptions"));
    BOOST_LEAF_ASSIGN(report.models, base::read_string_list(document, "models"));
    BOOST_LEAF_ASSIGN(report.role, base::read_string_or(document, "role", ""));
    BOOST_LEAF_AUTO(fencing, base::read_string_or(document, "fencing", "ignored"));
    report.fencing = fencing == "enforced" ? fencing_support::enforced : fencing_support::ignored;
    return report;
}

} // namespace jasminepier::backend
