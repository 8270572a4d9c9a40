#include "serving/dispatcher.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void dispatcher::observe_versions(base::time_point now)
{
    for (auto const& [service, timeout] : m_configuration->resumable_timeouts())
        m_version_histories[service].extend_window(timeout);
    for (auto const& [id, server] : m_directory.servers())
    {
        auto const history = m_version_histories.find(server.entry.service);
        if (history != m_version_histories.end())
            history->second.record_listed(server.entry.version, now);
    }
    for (auto& [service, history] : m_version_histories)
        history.expire(now);
}

std::optional<version_hash> dispatcher::find_only_version(std::string_view service,
                                                          base::time_point now) const
{
    auto const history = m_version_histories.find(service);
    if (history == m_version_histories.end())
        return std::nullopt;
    auto const only = history->second.find_only_version(now);
    return only ? std::optional(hash_version(service, *only)) : std::nullopt;
}

service const* dispatcher::find_service_of_version(route const& matched_route,
                                                   version_hash version) const
{
    for (auto const& [id, server] : m_directory.servers())
    {
        auto const& entry = server.entry;
        bool const is_target =
            std::any_of(matched_route.services.begin(), matched_route.services.end(),
                        [&](weighted_service const& target)
                        { return target.weight > 0 && target.service == entry.service; });
        if (is_target && hash_version(entry.service, entry.version) == version)
            return m_configuration->find_service(entry.service);
    }
    return nullptr;
}

} // namespace jasminepier::serving
