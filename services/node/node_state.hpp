/// What the threads of a node share.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/versioned_store.hpp"
#include "decision/poison_request_detector.hpp"
#include "http/wait_set.hpp"
#include "services/node/node_settings.hpp"
#include "serving/dispatcher.hpp"
#include "serving/node_directory.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace jasminepier::node
{

/// Tables behind one lock. A request takes the lock a few times for microseconds; it is never held
/// during I/O.
class node_state
{
public:
    struct tables
    {
        serving::dispatcher dispatcher;
        serving::node_directory nodes;
        std::shared_ptr<serving::fleet_configuration const> configuration;
        /// The store's objects as last read, for peers that cannot reach the store.
        configuration::versioned_store objects;
        base::random_source random;
        /// Threads whose requests wait for a place.
        std::set<http::wakeup*> waiting;

        /// Newest revision among the copies of the configuration and of evacuations.
        std::int64_t configuration_revision() const;
    };

    explicit node_state(node_settings settings);

    /// Runs `body(tables&)` under the lock and returns its result.
    template <class Body>
    auto with(Body&& body)
    {
        std::lock_guard lock(m_mutex);
        return body(m_tables);
    }

    std::shared_ptr<serving::fleet_configuration const> configuration()
    {
        return with([](tables& state) { return state.configuration; });
    }
    /// The settings in force; a reload replaces them as a whole.
    std::shared_ptr<node_settings const> settings()
    {
        std::lock_guard lock(m_mutex);
        return m_settings;
    }
    /// Takes over changed settings. Addresses, names and ports keep their value until a restart.
    void reload(node_settings const& changed);
    decision::poison_request_detector& poison_requests() noexcept { return m_poison_requests; }

    /// Set once at the stop signal.
    void begin_shutdown(base::time_point end);
    bool shutting_down() const noexcept { return m_shutting_down; }
    /// The time at which the process ends by itself; meaningful while it is stopping.
    base::time_point shutdown_deadline() const noexcept { return m_shutdown_deadline.load(); }
    /// Ends the waiting of idle connections at the end of a stop.
    http::wakeup& closing() noexcept { return m_closing; }

    /// Signalled when peers are to hear of a change before the next regular report.
    http::wakeup& report_due() noexcept { return m_report_due; }

    void add_running(int amount) noexcept { m_running += amount; }
    int running() const noexcept { return m_running; }
    /// Distinguishes this process from earlier ones of the node.
    std::int64_t started() const noexcept { return m_started; }

private:
    base::ordered_mutex<base::lock_level::node_state> m_mutex;
    std::shared_ptr<node_settings const> m_settings;
    tables m_tables;
    decision::poison_request_detector m_poison_requests;
    http::wakeup m_closing;
    http::wakeup m_report_due;
    std::atomic<bool> m_shutting_down{false};
    std::atomic<base::time_point> m_shutdown_deadline{};
    std::atomic<int> m_running{0};
    std::int64_t m_started;
};

/// Wakes all requests that wait for a place. Call it with the tables' lock held.
void notify_waiting_requests(node_state::tables& tables);

} // namespace jasminepier::node
