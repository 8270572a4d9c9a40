/// Usual answer times of routes, with which answers of a new version are compared.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminepier::serving
{

/// Keeps the last times of each route of a service. Not synchronized.
class usual_times
{
public:
    /// An answer that takes this multiple of the median is slow. Load and the lengths of prompts
    /// and answers explain less.
    static constexpr double slow_factor = 3;
    /// With fewer times, no answer is called slow.
    static constexpr std::size_t minimum_times = 4;
    static constexpr std::size_t kept_times = 64;

    /// Seconds to the answer or to its first event, and seconds for each expected token after it.
    struct measure
    {
        double response = 0;
        double per_token = 0;
    };

    void add(std::string const& service, std::string const& route, measure const& seen)
    {
        auto& [times, next] = m_times[{service, route}];
        if (times.size() < kept_times)
            times.push_back(seen);
        else
            times[next++ % kept_times] = seen;
    }

    bool is_slow(std::string const& service, std::string const& route, measure const& seen) const
    {
        auto const found = m_times.find({service, route});
        if (found == m_times.end() || found->second.times.size() < minimum_times)
            return false;
        auto const& times = found->second.times;
        return seen.response > slow_factor * median(times, &measure::response) ||
               (seen.per_token > 0 &&
                seen.per_token > slow_factor * median(times, &measure::per_token));
    }

private:
    struct kept
    {
        std::vector<measure> times;
        /// The oldest one, once all places are taken.
        std::size_t next = 0;
    };

    static double median(std::vector<measure> const& times, double measure::*member)
    {
        std::array<double, kept_times> values{};
        std::transform(times.begin(), times.end(), values.begin(),
                       [&](auto const& item) { return item.*member; });
        auto const middle = values.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(values.begin(), middle,
                         values.begin() + static_cast<std::ptrdiff_t>(times.size()));
        return *middle;
    }

    std::map<std::pair<std::string, std::string>, kept> m_times;
};

} // namespace jasminepier::serving
