/// State of the serving of generations, shared by the workers of an entry process.
#pragma once

#include "decision/poison_request_detector.hpp"
#include "decision/retry_policy.hpp"

#include <atomic>
#include <chrono>

namespace jasminepier::entry
{

enum class shutdown_phase
{
    serving,
    /// Asked to stop: no longer among the addresses, but callers may hold a cached answer.
    leaving,
    /// New requests are refused; running ones go on.
    refusing,
};

struct serving_settings
{
    /// Longest silence of an engine before its stream is resumed on a new connection.
    std::chrono::milliseconds engine_silence_timeout{10000};
    int address_time_to_live_seconds = 30;
    /// This node's own address, left out of address answers once it is leaving.
    std::string local_address;
};

class serving_state
{
public:
    explicit serving_state(serving_settings settings) : m_settings(std::move(settings)) {}

    serving_settings const& settings() const noexcept { return m_settings; }
    decision::retry_budgets& budgets() noexcept { return m_budgets; }
    decision::poison_request_detector& poison_requests() noexcept { return m_poison_requests; }

    shutdown_phase phase() const noexcept { return m_phase; }
    void set_phase(shutdown_phase phase) noexcept { m_phase = phase; }

    /// Requests being served.
    int running() const noexcept { return m_running; }
    void add_running(int change) noexcept { m_running += change; }

private:
    serving_settings m_settings;
    decision::retry_budgets m_budgets;
    decision::poison_request_detector m_poison_requests;
    std::atomic<shutdown_phase> m_phase = shutdown_phase::serving;
    std::atomic<int> m_running = 0;
};

} // namespace jasminepier::entry
