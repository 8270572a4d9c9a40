#include "serving/fleet_configuration.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void fleet_configuration::add_route(route added)
{
    auto& routes = m_routes[added.host];
    auto const same =
        std::find_if(routes.begin(), routes.end(),
                     [&](route const& other) { return other.path_prefix == added.path_prefix; });
    if (same != routes.end())
    {
        *same = std::move(added);
        return;
    }
    auto const place = std::upper_bound(routes.begin(), routes.end(), added.path_prefix.size(),
                                        [](std::size_t length, route const& other)
                                        { return length > other.path_prefix.size(); });
    routes.insert(place, std::move(added));
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
