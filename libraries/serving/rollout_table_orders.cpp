/// Orders of roll-outs, and the versions that they permit.
#include "serving/rollout_table.hpp"
#include "store/object_version.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

// How long after an end an order like it may come from a restored copy of the store.
constexpr milliseconds restore_period{600000};

} // namespace

void rollout_table::enable(rollout_limits const& limits, std::uint64_t seed)
{
    m_limits = limits;
    m_random.seed(seed);
}

void rollout_table::apply_order(rollout_order const& order, bool has_engines, base::time_point now,
                                std::optional<std::int64_t> unix_milliseconds)
{
    if (!enabled())
        return;
    m_unknown_orders.erase(order.id);
    m_absent_orders.erase(order.id);
    if (m_unknown_orders.empty())
        m_unknown_since.reset();
    auto const found = m_rollouts.find(order.service);
    if (found != m_rollouts.end() && found->second.order.id == order.id)
    {
        auto& item = found->second;
        if (order.revision < item.order.revision)
            return;
        item.stored = order.written;
        item.order.revision = order.revision;
        if (order.started_unix_milliseconds)
            item.order.started_unix_milliseconds = order.started_unix_milliseconds;
        // A store restored from a copy lacks an end that was written before.
        if (order.has_ended() || !item.order.has_ended())
            item.order.written = order.written;
    }
    else
    {
        if (found != m_rollouts.end())
            refuse_unfinished(found->second);
        // Ordered again, the version gets another chance.
        m_refused[order.service].erase(order.target);
        rollout item;
        item.order = order;
        item.stored = order.written;
        item.schedule = make_rollout_schedule(order.duration, has_engines);
        item.start = now;
        item.learned = now;
        item.was_learned_ended = order.has_ended();
        item.credit = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (unix_milliseconds && order.started_unix_milliseconds)
        {
            item.start -=
                std::clamp(milliseconds(*unix_milliseconds - *order.started_unix_milliseconds),
                           milliseconds(0), order.duration);
            item.start_is_uncertain = true;
        }
        auto const end = m_known_ends.find(order.service);
        bool const was_restored = end != m_known_ends.end() && !order.has_ended() &&
                                  end->second.target == order.target &&
                                  end->second.duration == order.duration &&
                                  store::epoch_of(order.revision) > end->second.epoch &&
                                  now < end->second.learned + restore_period;
        if (was_restored)
            item.order.written = end->second.state;
        m_rollouts[order.service] = std::move(item);
    }
    auto const& current = m_rollouts[order.service].order;
    // Not for an end that has to be written again: the store doesn't hold it yet.
    if (!order.has_ended())
        return;
    auto const [end, is_new] = m_known_ends.try_emplace(order.service);
    bool const is_same = !is_new && end->second.order == order.id;
    end->second = {current.id,
                   current.target,
                   current.duration,
                   *current.written,
                   store::epoch_of(current.revision),
                   is_same ? end->second.learned : now};
}

void rollout_table::remove_order(std::string const& service, std::optional<std::int64_t> revision)
{
    auto const found = m_rollouts.find(service);
    if (found != m_rollouts.end())
        refuse_unfinished(found->second);
    m_rollouts.erase(service);
    // Deleted by the operator, not lost with the store.
    auto const end = m_known_ends.find(service);
    if (revision && end != m_known_ends.end() && store::epoch_of(*revision) == end->second.epoch)
        m_known_ends.erase(end);
}

void rollout_table::refuse_unfinished(rollout const& item)
{
    if (item.stage != rollout_stage::completed && item.order.written != rollout_state::completed)
        m_refused[item.order.service].insert(item.order.target);
}

void rollout_table::forget_unlisted_refusals()
{
    for (auto& [service, targets] : m_refused)
    {
        auto const listed = m_versions.find(service);
        std::erase_if(targets, [&](auto const& target)
                      { return listed == m_versions.end() || !listed->second.contains(target); });
    }
}

rollout_order const* rollout_table::find_order(std::string_view service) const
{
    auto const found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second.order;
}

version_admission rollout_table::admit_unordered(std::string const& service,
                                                 std::string const& version,
                                                 std::string const* target, base::time_point now)
{
    auto& versions = m_versions[service];
    auto const first_listed = versions.try_emplace(version, now, true).first->second.first_listed;
    auto const refused = m_refused.find(service);
    bool const is_refused = refused != m_refused.end() && refused->second.contains(version);
    // With an order, none is on its way.
    bool const is_new = target == nullptr && now < first_listed + order_grace_period;
    if (!is_refused && !is_new)
        return version_admission::normal;
    bool const has_other =
        std::any_of(versions.begin(), versions.end(),
                    [&](auto const& other)
                    {
                        // An order's target may not take this version's place.
                        bool const is_target = target != nullptr && other.first == *target;
                        if (!other.second.usable || other.first == version || is_target)
                            return false;
                        if (is_refused)
                            return !refused->second.contains(other.first);
                        return other.second.first_listed < first_listed;
                    });
    return has_other ? version_admission::excluded : version_admission::normal;
}

version_admission rollout_table::admit(std::string const& service, std::string const& version,
                                       std::string const& server, bool is_handover,
                                       base::time_point now)
{
    if (!enabled())
        return version_admission::normal;
    auto const found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return admit_unordered(service, version, nullptr, now);
    auto const& item = found->second;
    if (version.empty() && item.stage != rollout_stage::waiting)
        return version_admission::excluded;
    bool const is_target = version == item.order.target;
    switch (item.stage)
    {
    case rollout_stage::waiting:
    case rollout_stage::rolled_back:
        return is_target ? version_admission::excluded
                         : admit_unordered(service, version, &item.order.target, now);
    case rollout_stage::canary:
    case rollout_stage::ramp:
        if (!is_target)
            return admit_unordered(service, version, &item.order.target, now);
        return !is_handover && item.credit >= 1 && item.selected_targets.contains(server)
                   ? version_admission::preferred
                   : version_admission::excluded;
    case rollout_stage::drain:
        return is_target ? version_admission::preferred
                         : admit_unordered(service, version, &item.order.target, now);
    case rollout_stage::retire:
    case rollout_stage::completed:
        break;
    }
    if (is_target)
        return version_admission::preferred;
    auto const listed = m_versions.find(service);
    bool const target_has_left =
        item.stage == rollout_stage::completed && now >= item.learned + order_grace_period &&
        (listed == m_versions.end() || !listed->second.contains(item.order.target));
    if (item.is_replaced(version) && !target_has_left)
        return version_admission::excluded;
    // A plain release after the roll-out.
    return admit_unordered(service, version, nullptr, now) == version_admission::excluded
               ? version_admission::excluded
               : version_admission::preferred;
}

bool rollout_table::retires(std::string const& service, std::string const& version) const
{
    auto const found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return false;
    auto const& item = found->second;
    if (item.stage == rollout_stage::rolled_back)
        return version == item.order.target;
    return (item.stage == rollout_stage::retire || item.stage == rollout_stage::completed) &&
           item.is_replaced(version);
}

} // namespace jasminepier::serving
