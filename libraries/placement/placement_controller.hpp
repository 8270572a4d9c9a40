/// Sends the commands that bring servers to their desired models and roles while the lease is held.
#pragma once

#include "base/log.hpp"
#include "placement/placement_lease.hpp"
#include "placement/reconciliation.hpp"

namespace jasminepier::placement
{

/// Sends a command to a server. `send` fails with stale_fencing_number if the server has seen a
/// higher fencing number. It must return within 2 s; see `lease_settings::safety_margin`.
template <class T>
concept command_sender = requires(T& sender, placement_command const& command,
                                  std::int64_t fencing_number)
{
    {
        sender.send(command, fencing_number)
        } -> std::same_as<base::result<void>>;
};

/// Reported placements by server name, without servers that don't report or are draining.
using reported_placements = std::map<std::string, reported_placement>;

/// Keeps the lease and reconciles the servers' reported with their desired placements. Not
/// synchronized; one thread calls `run_round`.
template <store::object_store Store, command_sender Sender, base::clock_source Clock>
class placement_controller
{
public:
    placement_controller(Store& store, Sender& sender, Clock const& clock, lease_settings lease,
                         command_rate_limits rate_limits)
        : m_store(store), m_sender(sender), m_clock(clock), m_lease(store, clock, std::move(lease)),
          m_rate_limiter(rate_limits)
    {
    }

    /// Renews or takes over the lease. If it is held, sends the missing commands.
    void run_round(reported_placements const& reported)
    {
        m_lease.renew_or_take_over();
        if (!m_lease.is_held())
            return;
        if (m_fencing_number != m_lease.fencing_number())
        {
            m_fencing_number = m_lease.fencing_number();
            m_rate_limiter.reset(m_clock.now());
            base::log_line(base::log_level::info, "placement_lease_gained")
                .field("fencing_number", m_fencing_number);
        }
        base::handle([&]() -> base::result<void> { return reconcile(reported); },
                     [](base::error const& failure)
                     {
                         base::log_line(base::log_level::warning, "placement_round_failed")
                             .field("reason", failure.message);
                     });
    }

    bool holds_lease() const { return m_lease.is_held(); }
    std::int64_t fencing_number() const { return m_lease.fencing_number(); }

private:
    base::result<void> reconcile(reported_placements const& reported)
    {
        BOOST_LEAF_AUTO(page, m_store.list("placement"));
        for (auto const& object : page.objects)
        {
            auto const report = reported.find(object.name);
            if (report == reported.end())
                continue;
            BOOST_LEAF_AUTO(desired, parse_placement(object.value));
            for (auto const& command : missing_commands(object.name, desired, report->second))
                if (m_rate_limiter.try_admit(command, m_clock.now()))
                    BOOST_LEAF_CHECK(send(command));
        }
        return {};
    }

    base::result<void> send(placement_command const& command)
    {
        // Checked for each command, because the process may have been paused since the last one.
        if (!m_lease.can_send_commands())
            return base::fail(base::error_kind::conflict,
                              "the remaining lease time is below the safety margin");
        auto const outcome = base::handle(
            [&]() -> base::result<std::optional<base::error_kind>>
            {
                BOOST_LEAF_CHECK(m_sender.send(command, m_fencing_number));
                return std::optional<base::error_kind>();
            },
            [](base::error const& failure) { return std::optional(failure.kind); });
        base::log_line(base::log_level::info, "placement")
            .field("server", command.server)
            .field("action", to_string(command.action))
            .field("model", command.model)
            .field("role", command.role)
            .field("fencing_number", m_fencing_number)
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
    command_rate_limiter m_rate_limiter;
    std::int64_t m_fencing_number = 0;
};

} // namespace jasminepier::placement
