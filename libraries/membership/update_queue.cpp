#include "membership/update_queue.hpp"

namespace jasminepier::membership
{
namespace
{

// Initial transmission count of a revision update, which places it behind new state changes.
constexpr int revision_initial_transmissions = 8;

} // namespace

void update_queue::push(std::string const& key, update_priority priority)
{
    auto const found = m_positions.find(key);
    // A revision update must not delay a queued state change of the same node; the record that is
    // sent for the state change contains the revision, too.
    if (priority == update_priority::revision && found != m_positions.end() &&
        found->second.first < revision_initial_transmissions)
        return;
    erase(key);
    int const transmissions =
        priority == update_priority::state_change ? 0 : revision_initial_transmissions;
    m_positions[key] = {transmissions, ++m_last_sequence};
    m_updates.emplace(transmissions, m_last_sequence, key);
}

void update_queue::erase(std::string const& key)
{
    auto const found = m_positions.find(key);
    if (found == m_positions.end())
        return;
    m_updates.erase({found->second.first, found->second.second, key});
    m_positions.erase(found);
}

void update_queue::reinsert(entry const& update, int maximum_transmissions)
{
    auto const& [transmissions, sequence, key] = update;
    if (transmissions >= maximum_transmissions)
    {
        m_positions.erase(key);
        return;
    }
    m_positions[key] = {transmissions, sequence};
    m_updates.insert(update);
}

} // namespace jasminepier::membership
