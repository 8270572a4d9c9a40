/// The lease that lets one control process send placement orders.
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
    /// Tells this process from an earlier one of the same node.
    std::string instance;
    base::milliseconds duration{15000};
    /// With less than this left, the holder sends nothing. It covers an order on its way (2 s) and
    /// clocks that run at different rates.
    base::milliseconds safety_margin{5000};
};

/// No wall clock takes part: the holder counts from before its last renewal was sent, the others
/// from when they first saw the object's version. A renewal is written before anyone sees it, so
/// the holder's count always ends first.
template <store::object_store Store, base::clock_source Clock>
class placement_lease
{
public:
    placement_lease(Store& store, Clock const& clock, lease_settings settings)
        : m_store(store), m_clock(clock), m_settings(std::move(settings))
    {
    }

    /// Renews the lease when it is held, else takes it over when it has lapsed.
    void step()
    {
        auto const before = m_clock.now();
        auto const seen = read();
        if (!seen)
            return;
        auto const held = parse(*seen);
        bool const own = held.instance == m_settings.instance;
        if (seen->version != m_seen_version)
        {
            m_seen_version = seen->version;
            m_seen_since = m_clock.now();
        }
        if (!own)
            m_valid_until = {};
        if (!own && !seen->deleted && m_clock.now() - m_seen_since < m_settings.duration)
            return;
        // A takeover whose answer was lost is continued under the number it was written with.
        write(*seen, own ? held.number : held.number + 1, before);
    }

    /// Returns false when an order could reach a server after the lease has lapsed.
    bool may_send() const
    {
        return m_valid_until && *m_valid_until - m_clock.now() >= m_settings.safety_margin;
    }
    bool is_held() const { return m_valid_until && *m_valid_until > m_clock.now(); }
    std::int64_t fencing_number() const noexcept { return m_number; }

    /// Called when a server has seen a higher number.
    void drop() noexcept { m_valid_until = {}; }

private:
    struct lease_value
    {
        std::string instance;
        std::int64_t number = 0;
    };

    std::optional<store::object> read()
    {
        return base::handle(
            [&]() -> base::result<std::optional<store::object>>
            {
                BOOST_LEAF_AUTO(seen, m_store.get("lease", "placement"));
                return std::optional(seen);
            },
            [](base::error const& failure) -> std::optional<store::object>
            {
                if (failure.kind == base::error_kind::not_found)
                    return store::object{"lease", "placement", 0, "{}", true};
                return std::nullopt;
            });
    }

    static lease_value parse(store::object const& seen)
    {
        return base::handle(
            [&]() -> base::result<lease_value>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(seen.value));
                lease_value value;
                BOOST_LEAF_ASSIGN(value.instance, base::read_string_or(document, "instance", ""));
                BOOST_LEAF_ASSIGN(value.number,
                                  base::read_integer_or(document, "fencing_number", 0));
                return value;
            },
            [](base::error const&) { return lease_value{}; });
    }

    void write(store::object seen, std::int64_t number, base::time_point before)
    {
        base::json_object value = new Poco::JSON::Object;
        value->set("holder", m_settings.node);
        value->set("instance", m_settings.instance);
        value->set("fencing_number", number);
        seen.value = base::write_json(value);
        auto const wrote =
            seen.deleted ? m_store.create("lease", "placement", seen.value) : m_store.update(seen);
        if (wrote.status != store::write_status::applied)
            return;
        m_number = number;
        m_valid_until = before + m_settings.duration;
        m_seen_version = wrote.current.version;
        m_seen_since = m_clock.now();
    }

    Store& m_store;
    Clock const& m_clock;
    lease_settings m_settings;
    std::int64_t m_number = 0;
    std::int64_t m_seen_version = -1;
    base::time_point m_seen_since{};
    std::optional<base::time_point> m_valid_until;
};

} // namespace jasminepier::placement
