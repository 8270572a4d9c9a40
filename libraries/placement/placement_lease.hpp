/// The lease that allows one control process at a time to send placement commands.
#pragma once

#include "base/clock.hpp"
#include "base/json.hpp"
#include "store/object.hpp"

#include <optional>
#include <string>

namespace jasminepier::placement
{

struct lease_settings
{
    std::string node;
    /// Distinguishes this process from an earlier one on the same node.
    std::string instance;
    base::milliseconds duration{15000};
    /// The holder sends nothing while less than this time is left. The margin covers a command in
    /// flight (2 s) and clock drift.
    base::milliseconds safety_margin{5000};
};

/// A lease stored as an object, with fencing numbers. It doesn't depend on wall clocks: the holder
/// measures the duration from before it sent its last renewal, the others from when they first
/// observed the object's version. A renewal is sent before anyone can observe it, so the lease
/// expires for its holder first.
template <store::object_store Store, base::clock_source Clock>
class placement_lease
{
public:
    placement_lease(Store& store, Clock const& clock, lease_settings settings)
        : m_store(store), m_clock(clock), m_settings(std::move(settings))
    {
    }

    /// Renews the lease if this process owns it, or takes it over if it has expired.
    void renew_or_take_over()
    {
        auto const renewal_started_at = m_clock.now();
        auto const stored = read();
        if (!stored)
            return;
        auto const lease = parse(*stored);
        bool const owned = lease.instance == m_settings.instance;
        if (stored->version != m_observed_version)
        {
            m_observed_version = stored->version;
            m_observed_at = m_clock.now();
        }
        if (!owned)
            m_valid_until = {};
        if (!owned && !stored->deleted && m_clock.now() - m_observed_at < m_settings.duration)
            return;
        // If the response to a takeover was lost, keep the fencing number that was written.
        write(*stored, owned ? lease.fencing_number : lease.fencing_number + 1, renewal_started_at);
    }

    /// Returns false if a command sent now could reach a server after the lease has expired.
    bool can_send_commands() const
    {
        return m_valid_until && *m_valid_until - m_clock.now() >= m_settings.safety_margin;
    }
    bool is_held() const { return m_valid_until && *m_valid_until > m_clock.now(); }
    std::int64_t fencing_number() const noexcept { return m_fencing_number; }

    /// Stops holding the lease without a change to the stored object. Called when a server has seen
    /// a higher fencing number, which means that another process has taken over.
    void drop() noexcept { m_valid_until = {}; }

private:
    struct lease_value
    {
        std::string instance;
        std::int64_t fencing_number = 0;
    };

    std::optional<store::object> read()
    {
        return base::handle(
            [&]() -> base::result<std::optional<store::object>>
            {
                BOOST_LEAF_AUTO(stored, m_store.get("lease", "placement"));
                return std::optional(stored);
            },
            [](base::error const& failure) -> std::optional<store::object>
            {
                if (failure.kind == base::error_kind::not_found)
                    return store::object{"lease", "placement", 0, "{}", true};
                return std::nullopt;
            });
    }

    static lease_value parse(store::object const& stored)
    {
        return base::handle(
            [&]() -> base::result<lease_value>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(stored.value));
                lease_value value;
                BOOST_LEAF_ASSIGN(value.instance, base::read_string_or(document, "instance", ""));
                BOOST_LEAF_ASSIGN(value.fencing_number,
                                  base::read_integer_or(document, "fencing_number", 0));
                return value;
            },
            [](base::error const&) { return lease_value{}; });
    }

    void write(store::object stored, std::int64_t fencing_number,
               base::time_point renewal_started_at)
    {
        base::json_object value = new Poco::JSON::Object;
        value->set("holder", m_settings.node);
        value->set("instance", m_settings.instance);
        value->set("fencing_number", fencing_number);
        stored.value = base::write_json(value);
        auto const outcome = stored.deleted ? m_store.create("lease", "placement", stored.value)
                                            : m_store.update(stored);
        if (outcome.status != store::write_status::applied)
            return;
        m_fencing_number = fencing_number;
        m_valid_until = renewal_started_at + m_settings.duration;
        m_observed_version = outcome.current.version;
        m_observed_at = m_clock.now();
    }

    Store& m_store;
    Clock const& m_clock;
    lease_settings m_settings;
    std::int64_t m_fencing_number = 0;
    std::int64_t m_observed_version = -1;
    base::time_point m_observed_at{};
    std::optional<base::time_point> m_valid_until;
};

} // namespace jasminepier::placement
