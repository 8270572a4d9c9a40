/// Shutdown phase, retry budgets and other state shared by the workers of an entry process.
#pragma once

#include "base/ordered_mutex.hpp"
#include "decision/poison_request_detector.hpp"
#include "decision/retry_policy.hpp"
#include "http/memory_account.hpp"
#include "serving/process_shutdown.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace jasminepier::entry
{

enum class shutdown_phase
{
    serving,
    /// Shutdown has begun. The node is no longer listed among the addresses, but callers may have
    /// them cached, so it still serves new requests.
    leaving,
    /// New requests are rejected; running requests continue.
    refusing,
};

struct serving_settings
{
    /// Time without data from an engine after which its stream is resumed on a new connection.
    std::chrono::milliseconds engine_silence_timeout{10000};
    int address_time_to_live_seconds = 30;
    /// Address of this node, omitted from address responses once it is leaving.
    std::string local_address;
    /// Limits on what callers may make this process hold.
    http::process_limits process;
};

class serving_state
{
public:
    explicit serving_state(serving_settings settings)
        : m_settings(std::move(settings)),
          m_caller_memory(http::derive_account_limits(m_settings.process))
    {
    }

    serving_settings const& settings() const noexcept { return m_settings; }
    /// Returns the account of what callers make this process hold.
    http::memory_account& caller_memory() noexcept { return m_caller_memory; }
    decision::retry_budgets& budgets() noexcept { return m_budgets; }
    decision::poison_request_detector& poison_requests() noexcept { return m_poison_requests; }

    void set_live_nodes(std::string self, std::vector<std::string> names)
    {
        std::lock_guard lock(m_live_nodes_mutex);
        m_self = std::move(self);
        m_live_nodes = std::move(names);
    }
    /// Returns this node's place among the live nodes for trials of a prompt part.
    decision::fleet_position find_trial_position(std::uint64_t part) const
    {
        std::lock_guard lock(m_live_nodes_mutex);
        return decision::find_trial_position(part, m_self, m_live_nodes);
    }

    shutdown_phase phase() const noexcept { return m_phase; }
    void set_phase(shutdown_phase phase) noexcept { m_phase = phase; }
    /// Limits the requests that are started and the time that they take once a shutdown with a
    /// limit has begun.
    serving::process_shutdown& shutdown() noexcept { return m_shutdown; }

    /// Returns the number of requests being served.
    int active_requests() const noexcept { return m_active_requests; }
    void add_active_requests(int change) noexcept { m_active_requests += change; }

private:
    serving_settings m_settings;
    http::memory_account m_caller_memory;
    decision::retry_budgets m_budgets;
    decision::poison_request_detector m_poison_requests;
    mutable base::ordered_mutex<base::lock_level::live_nodes> m_live_nodes_mutex;
    std::string m_self;
    std::vector<std::string> m_live_nodes;
    serving::process_shutdown m_shutdown;
    std::atomic<shutdown_phase> m_phase = shutdown_phase::serving;
    std::atomic<int> m_active_requests = 0;
};

} // namespace jasminepier::entry
