/// State shared by the threads of a node.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "configuration/versioned_store.hpp"
#include "decision/poison_request_detector.hpp"
#include "http/memory_account.hpp"
#include "http/wait_set.hpp"
#include "services/node/node_settings.hpp"
#include "serving/dispatcher.hpp"
#include "serving/lost_answer_table.hpp"
#include "serving/node_directory.hpp"
#include "serving/object_catch_up.hpp"
#include "serving/process_shutdown.hpp"
#include "serving/stream_origin_table.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace jasminepier::node
{

/// The tables of a node, protected by a single mutex, and its lifecycle flags. Thread-safe. A
/// request locks the tables a few times for microseconds; the lock is never held during I/O.
class node_state
{
public:
    struct tables
    {
        serving::dispatcher dispatcher;
        serving::node_directory nodes;
        std::shared_ptr<serving::fleet_configuration const> configuration;
        /// Copies of the store's objects, also served to peers that cannot reach the store.
        configuration::versioned_store objects;
        base::random_source random;
        /// This node watches the store for its zone, or for itself in a small fleet.
        bool follows_store = true;
        /// This node's last call to the store failed. Unlike `server_directory::store_lost`, this
        /// says nothing about other nodes.
        bool store_call_failed = false;
        /// The newest epoch of the store that this node has heard of.
        std::optional<std::int64_t> store_epoch;
        /// When this node heard that the store had been restored from a copy.
        std::optional<base::time_point> store_restored_at;
        /// Wakeups of the requests that wait for a free slot at a server.
        std::set<http::wakeup*> waiting_requests;
        /// Decides how this node obtains objects that it has missed.
        serving::object_catch_up catch_up;
        serving::lost_answer_table lost_answers{};
        /// Which versions began the streams of this node and of its peers.
        serving::stream_origin_table stream_origins{};

        serving::catch_up_view catch_up_view() const
        {
            return {nodes, objects, configuration != nullptr, follows_store, store_call_failed};
        }
    };

    explicit node_state(node_settings settings);

    /// Calls `body(tables&)` with the mutex locked and returns its result.
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
    /// Returns the current settings. A reload replaces the object; it never changes it in place.
    std::shared_ptr<node_settings const> settings()
    {
        std::lock_guard lock(m_mutex);
        return m_settings;
    }
    /// Applies the settings that can change at run time: the shutdown grace period, the address TTL
    /// and the retry budget. Names, addresses and ports require a restart.
    void update_settings(node_settings const& changed);
    decision::poison_request_detector& poison_requests() noexcept { return m_poison_requests; }

    /// Starts the graceful shutdown; called once, after the shutdown signal. All requests must have
    /// been answered at `end`.
    void begin_shutdown(base::time_point now, base::time_point end);
    bool shutting_down() const noexcept { return m_shutdown.begun(); }
    /// Wakes requests, whose deadlines change, and closes connections that wait for their next
    /// request.
    serving::process_shutdown& shutdown() noexcept { return m_shutdown; }

    /// From now on, no connection reads another request.
    void stop_reading() noexcept { m_reading_stopped = true; }
    bool reading_stopped() const noexcept { return m_reading_stopped; }

    /// Signalled to send a report to the peers before the regular interval has passed.
    http::wakeup& report_due() noexcept { return m_report_due; }

    /// Returns the account of what callers make this process hold.
    http::memory_account& caller_memory() noexcept { return m_caller_memory; }

    void add_active_requests(int amount) noexcept { m_active_requests += amount; }
    int active_requests() const noexcept { return m_active_requests; }
    /// Start time of this process, which tells its reports from those of earlier processes.
    std::int64_t started_unix_milliseconds() const noexcept { return m_started_unix_milliseconds; }

private:
    base::ordered_mutex<base::lock_level::node_state> m_mutex;
    std::shared_ptr<node_settings const> m_settings;
    tables m_tables;
    decision::poison_request_detector m_poison_requests;
    http::wakeup m_report_due;
    serving::process_shutdown m_shutdown;
    std::atomic<bool> m_reading_stopped{false};
    std::atomic<int> m_active_requests{0};
    std::int64_t m_started_unix_milliseconds;
    http::memory_account m_caller_memory;
};

/// Wakes all requests that wait for a free slot. The caller must have locked the tables.
void notify_waiting_requests(node_state::tables& tables);

} // namespace jasminepier::node
