#include "serving/lost_answer_table.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

/// True if the server, or its successor at the same address, started after the answer was lost.
bool has_restarted(lost_answer const& answer, server_directory const& directory)
{
    if (answer.server_started_unix_milliseconds == 0)
        return false;
    auto const& servers = directory.servers();
    return std::any_of(servers.begin(), servers.end(),
                       [&](auto const& item)
                       {
                           listed_server const& listed = item.second;
                           return listed.entry.address == answer.address &&
                                  listed.phase == server_phase::ready &&
                                  listed.entry.started_unix_milliseconds >
                                      answer.server_started_unix_milliseconds;
                       });
}

} // namespace

std::string_view to_string(crash_evidence evidence) noexcept
{
    switch (evidence)
    {
    case crash_evidence::connection_refused:
        return "connection_refused";
    case crash_evidence::restarted:
        return "restarted";
    }
    return "unknown";
}

template <class Predicate>
std::vector<lost_answer> lost_answer_table::take_if(Predicate&& is_taken)
{
    std::vector<lost_answer> taken;
    for (auto& observed : m_answers)
        if (is_taken(observed.answer))
            taken.push_back(observed.answer);
    std::erase_if(m_answers,
                  [&](observed_answer const& observed) { return is_taken(observed.answer); });
    return taken;
}

void lost_answer_table::add(lost_answer answer)
{
    if (m_answers.size() >= maximum_answers)
        m_answers.erase(m_answers.begin());
    m_answers.push_back({std::move(answer)});
}

std::vector<lost_answer> lost_answer_table::take_restarted(server_directory const& directory,
                                                           base::time_point now)
{
    std::erase_if(m_answers, [&](observed_answer const& observed)
                  { return now - observed.answer.time >= observation_time; });
    return take_if([&](lost_answer const& answer) { return has_restarted(answer, directory); });
}

std::vector<std::string> lost_answer_table::take_due_probes(base::time_point now, std::size_t limit)
{
    std::vector<std::string> addresses;
    for (auto& observed : m_answers)
    {
        if (observed.probed || now - observed.answer.time < second_probe_delay)
            continue;
        auto const& address = observed.answer.address;
        bool const is_known =
            std::find(addresses.begin(), addresses.end(), address) != addresses.end();
        if (!is_known && addresses.size() >= limit)
            continue;
        observed.probed = true;
        if (!is_known)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<lost_answer> lost_answer_table::take_refused(std::string_view address)
{
    return take_if([&](lost_answer const& answer) { return answer.address == address; });
}

} // namespace jasminepier::serving
