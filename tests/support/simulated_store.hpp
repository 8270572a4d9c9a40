/// A simulated object store that loses, delays and duplicates requests and responses.
#pragma once

#include "stand_ins/platform/memory_store.hpp"
#include "store/object.hpp"
#include "tests/support/simulation.hpp"

namespace jasminepier::tests
{

/// The faults that a simulation may inject.
enum class fault
{
    crash,
    disconnect,
    freeze,
    lost_response,
    duplicate,
    delay,
};
inline constexpr int fault_count = 6;
using fault_set = std::set<fault>;

/// Whether the store checks the preconditions of writes. Tests switch the checks off to show that
/// they detect the consequence.
enum class write_conditions
{
    checked,
    ignored,
    ignored_by_deletions,
};

struct simulated_store_state
{
    simulation& schedule;
    fault_set faults;
    write_conditions conditions = write_conditions::checked;
    stand_ins::memory_store objects;
    /// Writes that take effect after their callers have timed out.
    std::vector<std::function<void()>> delayed_writes;
    /// A previous listing, which half of the list requests return.
    std::vector<store::object> stale_listing;
    int calls = 0;

    bool should_inject(fault kind, int percent)
    {
        return faults.contains(kind) && schedule.draw_bool(percent);
    }
    void apply_delayed_write()
    {
        if (delayed_writes.empty())
            return;
        auto const chosen = schedule.draw_index(static_cast<int>(delayed_writes.size()));
        auto const write = delayed_writes[static_cast<std::size_t>(chosen)];
        delayed_writes.erase(delayed_writes.begin() + chosen);
        write();
    }
};

/// One node's view of the store. Satisfies `store::object_store`.
class simulated_store
{
public:
    explicit simulated_store(simulated_store_state& state) : m_state(state) {}

    base::result<store::object> get(std::string const& kind, std::string const& name)
    {
        if (!begin_read())
            return base::fail(base::error_kind::platform_unavailable, "the connection failed");
        auto const found = m_state.objects.get(kind, name);
        m_state.schedule.yield();
        if (!found)
            return base::fail(base::error_kind::not_found, "absent");
        return convert(*found);
    }

    base::result<store::object_page> list(std::string const& kind)
    {
        if (!begin_read())
            return base::fail(base::error_kind::platform_unavailable, "the connection failed");
        store::object_page page;
        for (auto const& each : m_state.objects.list(kind).second)
            page.objects.push_back(convert(each));
        if (m_state.schedule.draw_bool(50) && !m_state.stale_listing.empty())
            page.objects.swap(m_state.stale_listing);
        else
            m_state.stale_listing = page.objects;
        m_state.schedule.yield();
        return page;
    }

    store::write_outcome create(std::string const& kind, std::string const& name,
                                std::string const& value)
    {
        return write(kind, name, stand_ins::must_not_exist, value);
    }
    store::write_outcome update(store::object const& changed)
    {
        return write(changed.kind, changed.name, changed.version, changed.value);
    }
    store::write_outcome remove(store::object const& existing)
    {
        return write(existing.kind, existing.name, existing.version, std::nullopt);
    }
    base::result<store::object_page> watch(std::int64_t, std::vector<std::string> const&)
    {
        return base::fail(base::error_kind::platform_unavailable, "watches are not simulated");
    }

private:
    static store::object convert(stand_ins::stored_object const& from)
    {
        return {from.kind, from.name, from.version, from.value, from.deleted};
    }

    bool begin_read()
    {
        ++m_state.calls;
        m_state.schedule.yield();
        return !m_state.should_inject(fault::disconnect, 15);
    }

    store::write_outcome write(std::string const& kind, std::string const& name,
                               std::int64_t condition, std::optional<std::string> const& value)
    {
        ++m_state.calls;
        m_state.schedule.yield();
        auto apply = [&state = m_state, kind, name, condition, value]
        {
            auto expected_version = condition;
            if (!value && !state.objects.get(kind, name))
                return stand_ins::write_response{412, std::nullopt};
            if (state.conditions == write_conditions::ignored ||
                (state.conditions == write_conditions::ignored_by_deletions && !value))
            {
                auto const found = state.objects.get(kind, name);
                expected_version = found ? found->version : stand_ins::must_not_exist;
            }
            return state.objects.write(kind, name, expected_version, value);
        };
        if (m_state.should_inject(fault::disconnect, 15))
            return {m_state.schedule.draw_bool(50) ? store::write_status::refused
                                                   : store::write_status::unknown,
                    {}};
        if (m_state.should_inject(fault::duplicate, 20))
            m_state.delayed_writes.emplace_back(apply);
        if (m_state.should_inject(fault::delay, 20))
        {
            m_state.delayed_writes.emplace_back(apply);
            return {};
        }
        auto const response = apply();
        m_state.schedule.yield();
        if (m_state.should_inject(fault::lost_response, 25))
            return {};
        store::write_outcome outcome;
        outcome.status =
            response.status == 200 ? store::write_status::applied : store::write_status::conflict;
        outcome.current =
            response.current ? convert(*response.current) : store::object{kind, name, 0, "", true};
        return outcome;
    }

    simulated_store_state& m_state;
};

} // namespace jasminepier::tests
