#include "serving/fleet_configuration.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void fleet_configuration::add_route(route new_route)
{
    if (new_route.idempotency == request_idempotency::resumable)
        for (auto const& target : new_route.services)
        {
            auto& longest = m_resumable_timeouts[target.service];
            longest = std::max(longest, new_route.timeout);
        }
    auto& routes = m_routes[new_route.host];
    auto const replaced = std::find_if(routes.begin(), routes.end(),
                                       [&](route const& existing)
                                       { return existing.path_prefix == new_route.path_prefix; });
    if (replaced != routes.end())
    {
        *replaced = std::move(new_route);
        return;
    }
    auto const position =
        std::upper_bound(routes.begin(), routes.end(), new_route.path_prefix.size(),
                         [](std::size_t length, route const& existing)
                         { return length > existing.path_prefix.size(); });
    routes.insert(position, std::move(new_route));
    ++m_route_count;
}

route const* fleet_configuration::find_route(std::string_view host, std::string_view path) const
{
    auto const routes = m_routes.find(host);
    if (routes == m_routes.end())
        return nullptr;
    auto const found = std::find_if(routes->second.begin(), routes->second.end(),
                                    [&](route const& candidate)
                                    { return path.starts_with(candidate.path_prefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

service const* fleet_configuration::find_service(std::string_view name) const
{
    auto const found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace jasminepier::serving
