#include "serving/configuration_check.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace jasminepier::serving
{
namespace
{

// A node holds the body of a request, the copy that it sends and its other state at the same time.
constexpr std::uint64_t bodies_per_vm_memory = 4;

std::string name_place(std::string_view list, std::size_t index, std::string_view name)
{
    std::string place(list);
    return place.append("[").append(std::to_string(index)).append("] (").append(name).append(")");
}

std::string name_route(route const& entry)
{
    return entry.host + entry.path_prefix;
}

class draft_checker
{
public:
    draft_checker(configuration_draft const& draft, configuration_environment const& environment)
        : m_draft(draft), m_environment(environment)
    {
        for (auto const& entry : draft.services)
            m_service_names.insert(entry.name);
    }

    std::vector<configuration_finding> run()
    {
        if (m_draft.version <= 0)
            add(finding_kind::error, "version", "the version is not a positive number");
        for (std::size_t i = 0; i < m_draft.routes.size(); ++i)
            check_route(i);
        for (std::size_t i = 0; i < m_draft.services.size(); ++i)
            check_service(i);
        for (std::size_t i = 0; i < m_draft.customers.size(); ++i)
            check_customer(i);
        check_limits();
        return std::move(m_findings);
    }

private:
    void add(finding_kind kind, std::string place, std::string message)
    {
        m_findings.push_back({kind, std::move(place), std::move(message)});
    }

    void check_route(std::size_t index)
    {
        auto const& entry = m_draft.routes[index];
        auto const place = name_place("routes", index, name_route(entry));
        check_route_match(index, place);
        check_route_services(entry, place);
        if (entry.maximum_attempts < 1)
            add(finding_kind::error, place, "the number of servers for a request is below 1");
        if (entry.timeout.count() <= 0)
            add(finding_kind::error, place, "the timeout is not above 0");
        else if (entry.latency_objective > entry.timeout)
            add(finding_kind::contradiction, place, "the latency objective exceeds the timeout");
        if (entry.streaming && entry.maximum_event_gap > entry.timeout)
            add(finding_kind::contradiction, place,
                "the permitted gap between events exceeds the timeout");
        bool const repeats = entry.maximum_attempts > 1;
        if (repeats && entry.idempotency == request_idempotency::non_idempotent)
            add(finding_kind::contradiction, place,
                "several servers are allowed for requests that run at most once");
        if (repeats && m_environment.retry_budget_ratio == 0)
            add(finding_kind::contradiction, place,
                "several servers are allowed, but the retry budget is 0");
    }

    void check_route_match(std::size_t index, std::string const& place)
    {
        auto const& entry = m_draft.routes[index];
        bool const is_comparable_host =
            !entry.host.empty() &&
            std::none_of(entry.host.begin(), entry.host.end(),
                         [](unsigned char c) { return std::isupper(c) != 0 || c == ':'; });
        if (!is_comparable_host)
            add(finding_kind::never_matches, place,
                "hosts are compared in lower case and without a port");
        if (!entry.path_prefix.starts_with('/') || !entry.path_prefix.ends_with('/'))
            add(finding_kind::error, place, "the path prefix does not begin and end with a slash");
        auto const later = std::find_if(
            m_draft.routes.begin() + static_cast<std::ptrdiff_t>(index) + 1, m_draft.routes.end(),
            [&](route const& other)
            { return other.host == entry.host && other.path_prefix == entry.path_prefix; });
        if (later != m_draft.routes.end())
            add(finding_kind::never_matches, place,
                "routes[" + std::to_string(later - m_draft.routes.begin()) +
                    "] has the same host and path prefix and replaces it");
    }

    void check_route_services(route const& entry, std::string const& place)
    {
        std::int64_t total_weight = 0;
        for (auto const& target : entry.services)
        {
            if (!m_service_names.contains(target.service))
                add(finding_kind::error, place,
                    "the service '" + target.service + "' is not configured");
            if (target.weight < 0)
                add(finding_kind::error, place,
                    "the weight of service '" + target.service + "' is negative");
            if (target.weight == 0)
                add(finding_kind::never_matches, place,
                    "the service '" + target.service + "' has the weight 0");
            total_weight += std::max(target.weight, 0);
            m_used_services.insert(target.service);
        }
        if (total_weight == 0)
            add(finding_kind::error, place, "no service of the route receives requests");
    }

    void check_service(std::size_t index)
    {
        auto const& entry = m_draft.services[index];
        auto const place = name_place("services", index, entry.name);
        bool const is_repeated = std::any_of(
            m_draft.services.begin() + static_cast<std::ptrdiff_t>(index) + 1,
            m_draft.services.end(), [&](service const& other) { return other.name == entry.name; });
        if (is_repeated)
            add(finding_kind::never_matches, place, "a later entry has the same name");
        if (!m_used_services.contains(entry.name))
            add(finding_kind::never_matches, place, "no route names the service");
        if (entry.maximum_connections < 0)
            add(finding_kind::error, place, "the number of connections is negative");
        if (entry.cold_requests_per_second < 0)
            add(finding_kind::error, place, "the rate of a cold server is negative");
        if (!entry.engine)
            return;
        if (entry.engine->batch_size < 1)
            add(finding_kind::error, place, "the batch size is below 1");
        if (entry.engine->cache_tokens <= 0)
            add(finding_kind::contradiction, place, "the engine has no KV cache for any request");
        if (entry.engine->can_move_generations && entry.engine->link_megabits_per_second <= 0)
            add(finding_kind::contradiction, place,
                "generations can be moved, but the link has no bandwidth");
    }

    void check_customer(std::size_t index)
    {
        auto const& entry = m_draft.customers[index];
        auto const place = name_place("customers", index, entry.settings.name);
        if (entry.api_keys.empty())
            add(finding_kind::never_matches, place, "the customer has no key");
        for (std::size_t i = 0; i < entry.api_keys.size(); ++i)
            check_key(index, i, place + " key " + std::to_string(i));
    }

    void check_key(std::size_t customer_index, std::size_t key_index, std::string const& place)
    {
        auto const& key = m_draft.customers[customer_index].api_keys[key_index];
        if (key.empty() || key.front() == ' ' || key.back() == ' ')
            add(finding_kind::never_matches, place,
                "keys are compared without surrounding spaces and are not empty");
        for (std::size_t i = customer_index; i < m_draft.customers.size(); ++i)
        {
            auto const& keys = m_draft.customers[i].api_keys;
            auto const first = i == customer_index
                                   ? keys.begin() + static_cast<std::ptrdiff_t>(key_index) + 1
                                   : keys.begin();
            if (std::find(first, keys.end(), key) == keys.end())
                continue;
            add(i == customer_index ? finding_kind::never_matches : finding_kind::error, place,
                i == customer_index ? "the key is listed twice"
                                    : "customers[" + std::to_string(i) + "] holds the same key");
            return;
        }
    }

    void check_limits()
    {
        auto const& limits = m_draft.limits;
        if (limits.maximum_header_bytes == 0)
            add(finding_kind::error, "limits", "no header is small enough");
        if (limits.header_timeout.count() <= 0 || limits.idle_timeout.count() <= 0)
            add(finding_kind::error, "limits", "a timeout is not above 0");
        auto const memory = m_environment.smallest_vm_memory_bytes;
        if (memory && limits.maximum_body_bytes > *memory / bodies_per_vm_memory)
            add(finding_kind::contradiction, "limits",
                "a body may have " + std::to_string(limits.maximum_body_bytes) +
                    " bytes, too many for a VM with " + std::to_string(*memory) +
                    " bytes of memory");
        bool const any_key = std::any_of(m_draft.customers.begin(), m_draft.customers.end(),
                                         [](auto const& entry) { return !entry.api_keys.empty(); });
        bool const any_public = std::any_of(m_draft.routes.begin(), m_draft.routes.end(),
                                            [](auto const& entry) { return !entry.requires_key; });
        if (m_draft.has_customers && !any_key && !any_public)
            add(finding_kind::contradiction, "customers",
                "all routes require a key, but there is none");
    }

    configuration_draft const& m_draft;
    configuration_environment const& m_environment;
    std::set<std::string, std::less<>> m_service_names;
    std::set<std::string, std::less<>> m_used_services;
    std::vector<configuration_finding> m_findings;
};

std::string format_services(route const& entry)
{
    std::string text;
    for (auto const& target : entry.services)
        text += (text.empty() ? "" : ", ") + target.service + " " + std::to_string(target.weight);
    return text;
}

/// The settings of an entry by name, so that two entries can be compared one by one.
using setting_list = std::map<std::string, std::string>;

setting_list list_settings(route const& entry)
{
    return {{"services", format_services(entry)},
            {"streaming", entry.streaming ? "yes" : "no"},
            {"idempotency", std::to_string(static_cast<int>(entry.idempotency))},
            {"servers for a request", std::to_string(entry.maximum_attempts)},
            {"key required", entry.requires_key ? "yes" : "no"},
            {"priority", std::to_string(entry.priority)},
            {"timeout ms", std::to_string(entry.timeout.count())},
            {"latency objective ms", std::to_string(entry.latency_objective.count())},
            {"gap between events ms", std::to_string(entry.maximum_event_gap.count())}};
}

setting_list list_settings(service const& entry)
{
    setting_list settings{{"health path", entry.health_path},
                          {"connections", std::to_string(entry.maximum_connections)},
                          {"cold requests per s", std::to_string(entry.cold_requests_per_second)}};
    if (!entry.engine)
        return settings;
    settings["batch size"] = std::to_string(entry.engine->batch_size);
    settings["cache tokens"] = std::to_string(entry.engine->cache_tokens);
    settings["bytes per token"] = std::to_string(entry.engine->bytes_per_token);
    settings["link Mbit/s"] = std::to_string(entry.engine->link_megabits_per_second);
    settings["moves generations"] = entry.engine->can_move_generations ? "yes" : "no";
    settings["holds copies"] = entry.engine->can_hold_copies ? "yes" : "no";
    return settings;
}

setting_list list_settings(customer_entry const& entry)
{
    return {{"priority", entry.settings.priority ? std::to_string(*entry.settings.priority) : ""}};
}

setting_list list_settings(caller_limits const& limits)
{
    return {{"header bytes", std::to_string(limits.maximum_header_bytes)},
            {"body bytes", std::to_string(limits.maximum_body_bytes)},
            {"header timeout ms", std::to_string(limits.header_timeout.count())},
            {"idle timeout ms", std::to_string(limits.idle_timeout.count())}};
}

std::string describe_changes(setting_list const& before, setting_list const& after)
{
    auto settings = before;
    settings.insert(after.begin(), after.end());
    auto const find = [](setting_list const& list, std::string const& name)
    {
        auto const found = list.find(name);
        return found == list.end() || found->second.empty() ? std::string("none") : found->second;
    };
    std::string text;
    for (auto const& [name, value] : settings)
        if (find(before, name) != find(after, name))
            text += (text.empty() ? "" : "; ") + name + " " + find(before, name) + " -> " +
                    find(after, name);
    return text;
}

/// Reports the entries of one list that were added, changed or removed. `name_of(entry)` identifies
/// an entry; a later one replaces an earlier one with the same name.
template <class Entry, class NameOf>
void compare_entries(std::vector<Entry> const& before, std::vector<Entry> const& after,
                     std::string const& list, NameOf&& name_of,
                     std::vector<configuration_finding>& findings)
{
    std::map<std::string, Entry const*> old_entries;
    std::map<std::string, Entry const*> new_entries;
    for (auto const& entry : before)
        old_entries[name_of(entry)] = &entry;
    for (auto const& entry : after)
        new_entries[name_of(entry)] = &entry;
    auto const add = [&](std::string const& name, std::string message) {
        findings.push_back({finding_kind::difference, list + " " + name, std::move(message)});
    };
    for (auto const& [name, entry] : new_entries)
    {
        auto const found = old_entries.find(name);
        if (found == old_entries.end())
            add(name, "added");
        else if (auto const changes =
                     describe_changes(list_settings(*found->second), list_settings(*entry));
                 !changes.empty())
            add(name, changes);
    }
    for (auto const& [name, entry] : old_entries)
        if (!new_entries.contains(name))
            add(name, "removed");
}

/// The customer that each key belongs to.
std::map<std::string, std::string> map_keys(configuration_draft const& draft)
{
    std::map<std::string, std::string> customers;
    for (auto const& entry : draft.customers)
        for (auto const& key : entry.api_keys)
            customers[key] = entry.settings.name;
    return customers;
}

void compare_keys(configuration_draft const& before, configuration_draft const& after,
                  std::vector<configuration_finding>& findings)
{
    struct key_changes
    {
        int added = 0;
        int removed = 0;
    };
    auto const old_keys = map_keys(before);
    auto const new_keys = map_keys(after);
    std::map<std::string, key_changes> changes;
    for (auto const& [key, name] : new_keys)
        if (auto const found = old_keys.find(key); found == old_keys.end() || found->second != name)
            ++changes[name].added;
    for (auto const& [key, name] : old_keys)
        if (auto const found = new_keys.find(key); found == new_keys.end() || found->second != name)
            ++changes[name].removed;
    for (auto const& [name, change] : changes)
        findings.push_back({finding_kind::difference, "customer " + name,
                            "keys added " + std::to_string(change.added) + ", removed " +
                                std::to_string(change.removed)});
}

} // namespace

std::string_view to_string(finding_kind kind) noexcept
{
    switch (kind)
    {
    case finding_kind::error:
        return "error";
    case finding_kind::never_matches:
        return "never matches";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::difference:
        return "difference";
    }
    return "unknown";
}

std::vector<configuration_finding> check_draft(configuration_draft const& draft,
                                               configuration_environment const& environment)
{
    return draft_checker(draft, environment).run();
}

std::vector<configuration_finding> compare_drafts(configuration_draft const& in_force,
                                                  configuration_draft const& draft)
{
    std::vector<configuration_finding> findings;
    if (draft.version <= in_force.version)
        findings.push_back({finding_kind::error, "version",
                            "version " + std::to_string(draft.version) + " is not newer than " +
                                std::to_string(in_force.version) + ", which is in force"});
    compare_entries(in_force.routes, draft.routes, "route", name_route, findings);
    compare_entries(
        in_force.services, draft.services, "service", [](auto const& entry) { return entry.name; },
        findings);
    compare_entries(
        in_force.customers, draft.customers, "customer",
        [](auto const& entry) { return entry.settings.name; }, findings);
    compare_keys(in_force, draft, findings);
    if (auto const changes =
            describe_changes(list_settings(in_force.limits), list_settings(draft.limits));
        !changes.empty())
        findings.push_back({finding_kind::difference, "limits", changes});
    return findings;
}

} // namespace jasminepier::serving
