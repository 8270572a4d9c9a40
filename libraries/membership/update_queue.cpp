#include "membership/update_queue.hpp"

namespace jasminepier::membership
{
namespace
{

// A revision update counts as sent this often from the start: it waits behind state changes.
constexpr int revision_handicap = 8;

} // namespace

void update_queue::push(std::string const& key, update_urgency urgency)
{
    auto const known = m_keys.find(key);
    // A revision update must not push a waiting state change of the same node back.
    if (urgency == update_urgency::revision && known != m_keys.end() &&
        known->second.first < revision_handicap)
        return;
    erase(key);
    int const sendings = urgency == update_urgency::state_change ? 0 : revision_handicap;
    m_keys[key] = {sendings, ++m_next};
    m_order.emplace(sendings, m_next, key);
}

void update_queue::erase(std::string const& key)
{
    auto const known = m_keys.find(key);
    if (known == m_keys.end())
        return;
    m_order.erase({known->second.first, known->second.second, key});
    m_keys.erase(known);
}

void update_queue::reinsert(entry const& moved, int limit)
{
    auto const& [sendings, order, key] = moved;
    if (sendings >= limit)
    {
        m_keys.erase(key);
        return;
    }
    m_keys[key] = {sendings, order};
    m_order.insert(moved);
}

} // namespace jasminepier::membership
