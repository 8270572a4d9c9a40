#include "base/hash.hpp"
#include "serving/dispatcher.hpp"

namespace jasminepier::serving
{
namespace
{

// Part of the expected tokens that runs hold on average while they run: the whole prompt and half
// of the output.
constexpr double made_part = 0.85;
// Copies between zones take twice as long; about a third of them cross zones.
constexpr double far_copy_factor = 1.3;
// The last copy has to come through before the engine leaves, 1.5 to 2.1 s after its notice; more
// copies than fit into this time start closer together.
constexpr base::milliseconds turns_limit{1100};

} // namespace

base::milliseconds dispatcher::copy_time(std::string const& server, std::int64_t tokens) const
{
    auto const found = m_directory.servers().find(server);
    if (found == m_directory.servers().end())
        return base::milliseconds(0);
    auto const* kind = m_configuration->find_service(found->second.entry.service);
    if (kind == nullptr || !kind->engine || kind->engine->link_megabits_per_second <= 0)
        return base::milliseconds(0);
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_megabit_in_milliseconds = 1000;
    auto const bits = made_part * static_cast<double>(tokens) *
                      static_cast<double>(kind->engine->bytes_per_token) * bits_per_byte;
    return base::milliseconds(static_cast<std::int64_t>(
        far_copy_factor * bits /
        (kind->engine->link_megabits_per_second * bits_per_megabit_in_milliseconds)));
}

base::milliseconds dispatcher::copy_start_delay(attempt_id number) const
{
    auto const own = m_attempts.find(number);
    if (own == m_attempts.end())
        return base::milliseconds(0);
    auto const& server = own->second.server;
    auto const hash = hash_server(server);
    auto const own_weight = base::rendezvous_weight(server, m_settings.node);
    std::int64_t before = 0;
    std::int64_t all = 0;
    for (auto const& [node, report] : m_peers)
        for (auto const& load : report.loads)
        {
            if (load.server != hash || load.handover_candidates == 0)
                continue;
            all += load.reserved_tokens;
            if (base::rendezvous_weight(server, node) > own_weight)
                before += load.reserved_tokens;
        }
    for (auto const& [other, held] : m_attempts)
    {
        if (held.server != server || !held.can_hand_over)
            continue;
        auto const tokens = held.demand.prompt_tokens + held.demand.expected_output_tokens;
        all += tokens;
        if (other < number)
            before += tokens;
    }
    auto const whole = copy_time(server, all);
    auto const turn = copy_time(server, before);
    if (whole <= turns_limit)
        return turn;
    return base::milliseconds(turn.count() * turns_limit.count() / whole.count());
}

bool dispatcher::may_start_copy(attempt_id number) const
{
    auto const own = m_attempts.find(number);
    if (own == m_attempts.end())
        return true;
    auto const& server = own->second.server;
    for (auto const& [other, held] : m_attempts)
        if (held.server == server && held.can_hand_over && other < number)
            return false;
    auto const hash = hash_server(server);
    auto const own_weight = base::rendezvous_weight(server, m_settings.node);
    for (auto const& [node, report] : m_peers)
        for (auto const& load : report.loads)
            if (load.server == hash && load.handover_candidates > 0 &&
                base::rendezvous_weight(server, node) > own_weight)
                return false;
    return true;
}

void dispatcher::set_can_hand_over(attempt_id number, bool can_hand_over)
{
    if (auto const found = m_attempts.find(number); found != m_attempts.end())
        found->second.can_hand_over = can_hand_over;
}

} // namespace jasminepier::serving
