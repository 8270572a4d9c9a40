/// Sends the orders that make servers hold the desired models, while the lease is held.
#pragma once

#include "base/log.hpp"
#include "placement/placement_lease.hpp"
#include "placement/reconciliation.hpp"

namespace jasminepier::placement
{

/// Sends an order to a server. Fails with stale_fencing_number when the server has seen a higher
/// number. May take at most 2 s, see `lease_settings::safety_margin`.
template <class T>
concept order_sender = requires(T& sender, placement_order const& order, std::int64_t number)
{
    {
        sender.send(order, number)
        } -> std::same_as<base::result<void>>;
};

using reported_placements = std::map<std::string, reported_placement>;

/// Not synchronized; one thread calls `step`.
template <store::object_store Store, order_sender Sender, base::clock_source Clock>
class placement_controller
{
public:
    placement_controller(Store& store, Sender& sender, Clock const& clock, lease_settings lease,
                         reconciliation_settings pacing)
        : m_store(store), m_sender(sender), m_clock(clock), m_lease(store, clock, std::move(lease)),
          m_pacing(pacing)
    {
    }

    /// Renews or takes the lease, then compares and sends.
    void step(reported_placements const& reported)
    {
        m_lease.step();
        if (!m_lease.held())
            return;
        if (m_number != m_lease.fencing_number())
        {
            m_number = m_lease.fencing_number();
            m_pacing.restart(m_clock.now());
            base::log_line(base::log_level::info, "placement_lease_gained")
                .field("fencing_number", m_number);
        }
        base::handle([&]() -> base::result<void> { return reconcile(reported); },
                     [](base::error const& failure)
                     {
                         base::log_line(base::log_level::warning, "placement_round_failed")
                             .field("reason", failure.message);
                     });
    }

    bool held() const { return m_lease.held(); }
    std::int64_t fencing_number() const { return m_lease.fencing_number(); }

private:
    base::result<void> reconcile(reported_placements const& reported)
    {
        BOOST_LEAF_AUTO(page, m_store.list("placement"));
        for (auto const& listed : page.objects)
        {
            auto const report = reported.find(listed.name);
            if (report == reported.end())
                continue;
            BOOST_LEAF_AUTO(desired, parse_placement(listed.value));
            for (auto const& order : missing_orders(listed.name, desired, report->second))
                if (m_pacing.admit(order, m_clock.now()))
                    BOOST_LEAF_CHECK(send(order));
        }
        return {};
    }

    base::result<void> send(placement_order const& order)
    {
        // Checked for each order: the process may have been paused since the last one.
        if (!m_lease.may_send())
            return base::fail(base::error_kind::conflict, "too little of the lease is left");
        auto const outcome = base::handle(
            [&]() -> base::result<std::optional<base::error_kind>>
            {
                BOOST_LEAF_CHECK(m_sender.send(order, m_number));
                return std::optional<base::error_kind>();
            },
            [](base::error const& failure) { return std::optional(failure.kind); });
        base::log_line(base::log_level::info, "placement")
            .field("server", order.server)
            .field("action", to_string(order.action))
            .field("model", order.model)
            .field("role", order.role)
            .field("fencing_number", m_number)
            .field("result", outcome ? base::to_string(*outcome) : "accepted");
        if (outcome == base::error_kind::stale_fencing_number)
        {
            m_lease.drop();
            return base::fail(*outcome, "a server has seen a higher fencing number");
        }
        return {};
    }

    Store& m_store;
    Sender& m_sender;
    Clock const& m_clock;
    placement_lease<Store, Clock> m_lease;
    order_pacing m_pacing;
    std::int64_t m_number = 0;
};

} // namespace jasminepier::placement
