/// Poison request detectors in memory that exchange reports.
#pragma once

#include "decision/poison_request_detector.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::decision
{

inline std::vector<std::uint64_t> make_parts(std::initializer_list<std::string_view> names)
{
    std::vector<std::uint64_t> parts;
    for (auto const name : names)
        parts.push_back(fingerprint_prompt_part(name));
    return parts;
}

inline std::optional<std::uint64_t> find_rejected_part(poison_request_detector const& detector,
                                                       std::vector<std::uint64_t> const& parts,
                                                       base::time_point now)
{
    auto const judgement = detector.judge_parts(parts, now);
    return judgement.verdict == part_verdict::rejected ? std::optional(judgement.part)
                                                       : std::nullopt;
}

/// Detectors in memory that exchange reports like the nodes of a fleet: news is sent at once and
/// relayed to one node of each other zone, everything else in turn.
class report_network
{
public:
    report_network(std::size_t nodes, std::size_t zones, double loss)
        : m_detectors(nodes), m_zones(zones), m_loss(loss)
    {
    }

    poison_request_detector& node(std::size_t index) { return m_detectors[index]; }

    std::size_t size() const noexcept { return m_detectors.size(); }

    /// Returns the place of a node for trials of a part, as the node itself sees it.
    fleet_position position(std::size_t index, std::uint64_t part) const
    {
        std::vector<std::string> names;
        for (auto i = index % m_zones; i < m_detectors.size(); i += m_zones)
            names.push_back("n" + std::to_string(i));
        auto const in_zone = find_trial_position(part, "n" + std::to_string(index), names);
        std::vector<std::string> zones;
        for (std::size_t zone = 0; zone < m_zones; ++zone)
            zones.push_back("z" + std::to_string(zone));
        return combine_positions(
            find_trial_position(part, "z" + std::to_string(index % m_zones), zones), in_zone,
            (m_detectors.size() + m_zones - 1) / m_zones);
    }

    void exchange(base::time_point now)
    {
        for (std::size_t sender = 0; sender < m_detectors.size(); ++sender)
        {
            auto const report = m_detectors[sender].take_report(crashes_per_report, now);
            deliver_in_zone(report, sender, sender % m_zones, now);
            for (std::size_t zone = 0; zone < m_zones && report.has_news; ++zone)
            {
                auto const relay = zone + m_zones * (random() % (m_detectors.size() / m_zones));
                if (zone == sender % m_zones || is_lost())
                    continue;
                apply(report, relay, now);
                deliver_in_zone(report, relay, zone, now);
            }
        }
    }

    std::size_t count_nodes_that_reject(std::vector<std::uint64_t> const& parts,
                                        base::time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_detectors.begin(), m_detectors.end(),
                          [&](auto const& detector)
                          { return find_rejected_part(detector, parts, now).has_value(); }));
    }

private:
    static constexpr std::size_t crashes_per_report = 4;

    std::uint32_t random() { return static_cast<std::uint32_t>(m_random()); }
    bool is_lost() { return std::bernoulli_distribution(m_loss)(m_random); }

    void apply(crash_report const& report, std::size_t receiver, base::time_point now)
    {
        m_detectors[receiver].merge(report.crashes, now);
        m_detectors[receiver].merge_answered(report.answered_parts, now);
        m_detectors[receiver].merge_tried(report.tried_parts, now);
    }

    void deliver_in_zone(crash_report const& report, std::size_t sender, std::size_t zone,
                         base::time_point now)
    {
        for (auto receiver = zone; receiver < m_detectors.size(); receiver += m_zones)
            if (receiver != sender && !is_lost())
                apply(report, receiver, now);
    }

    std::vector<poison_request_detector> m_detectors;
    std::size_t m_zones;
    double m_loss;
    std::mt19937 m_random{20261204};
};

} // namespace jasminepier::decision
