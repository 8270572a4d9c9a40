/// A small model of an inference engine in virtual time: continuous batching, a KV cache that fills
/// and preempts, a prefix cache, cold start. The HTTP stand-in and the benchmarks drive it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminepier::stand_ins
{

struct engine_model_settings
{
    std::int64_t kv_capacity_tokens = 60000;
    int max_running = 64;
    /// Duration of a decode step: base plus this much for each running generation, milliseconds.
    double step_milliseconds = 12;
    double step_milliseconds_per_generation = 0.15;
    /// Prompt tokens processed in a millisecond; prefill delays the step that it shares.
    double prefill_tokens_per_millisecond = 20;
    /// A cold engine that runs more than this many generations fails.
    int cold_capacity = 2;
    /// Completed generations after which a cold engine is warm.
    int warm_after_completions = 8;
    double cold_slowdown = 5;
    /// Prompt prefixes kept; the least recently used is dropped.
    std::size_t prefix_cache_entries = 64;
    bool starts_cold = false;
};

struct engine_job
{
    std::string id;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    /// 0 is the most urgent.
    int priority = 1;
    std::uint64_t prefix_hash = 0;
    /// Tokens of the prompt that a cached prefix saves.
    std::int64_t prefix_tokens = 0;
    std::int64_t produced = 0;
    int preempted = 0;
};

/// One produced token; `finished` marks the last of its generation.
struct engine_token
{
    std::string id;
    std::int64_t index = 0;
    bool finished = false;
};

struct engine_step
{
    double milliseconds = 0;
    std::vector<engine_token> tokens;
    /// The engine failed because it was cold and overloaded.
    bool failed = false;
};

class engine_model
{
public:
    explicit engine_model(engine_model_settings settings)
        : m_settings(settings), m_cold(settings.starts_cold)
    {
    }

    void submit(engine_job job) { m_waiting.push_back(std::move(job)); }

    /// Removes a generation wherever it is. Returns false when it is unknown.
    bool cancel(std::string const& id)
    {
        auto const matches = [&](engine_job const& job) { return job.id == id; };
        auto const before = m_running.size() + m_waiting.size();
        std::erase_if(m_running, matches);
        std::erase_if(m_waiting, matches);
        return m_running.size() + m_waiting.size() != before;
    }

    /// Turns a warm engine cold, as after a lost cache or a driver reset.
    void turn_cold()
    {
        m_cold = true;
        m_completions = 0;
    }

    /// Runs one decode step for the whole batch.
    engine_step step()
    {
        engine_step result;
        double const prefill = admit();
        if (m_cold && running() > m_settings.cold_capacity)
        {
            result.failed = true;
            return result;
        }
        make_room();
        result.milliseconds = m_settings.step_milliseconds + prefill +
                              m_settings.step_milliseconds_per_generation * running();
        if (m_cold)
            result.milliseconds *= m_settings.cold_slowdown;
        produce(result);
        return result;
    }

    bool is_idle() const noexcept { return m_running.empty() && m_waiting.empty(); }
    bool is_cold() const noexcept { return m_cold; }
    int running() const noexcept { return static_cast<int>(m_running.size()); }
    int waiting() const noexcept { return static_cast<int>(m_waiting.size()); }
    std::int64_t preemptions() const noexcept { return m_preemptions; }
    engine_model_settings const& settings() const noexcept { return m_settings; }
    std::vector<engine_job> const& running_jobs() const noexcept { return m_running; }
    std::deque<engine_job> const& waiting_jobs() const noexcept { return m_waiting; }

    std::int64_t kv_used_tokens() const noexcept
    {
        std::int64_t used = 0;
        for (auto const& job : m_running)
            used += job.prompt_tokens + job.produced;
        return used;
    }

private:
    /// Moves waiting jobs into the batch while memory allows; returns the prefill time.
    double admit()
    {
        double milliseconds = 0;
        std::int64_t used = kv_used_tokens();
        while (!m_waiting.empty() && running() < m_settings.max_running)
        {
            auto const next = std::min_element(m_waiting.begin(), m_waiting.end(),
                                               [](engine_job const& left, engine_job const& right)
                                               { return left.priority < right.priority; });
            auto const needed = next->prompt_tokens + next->produced + 1;
            if (used + needed > m_settings.kv_capacity_tokens && !m_running.empty())
                break;
            used += needed;
            auto prefill = needed;
            if (touch_prefix(next->prefix_hash))
                prefill -= std::min(prefill, next->prefix_tokens);
            milliseconds +=
                static_cast<double>(prefill) / m_settings.prefill_tokens_per_millisecond;
            m_running.push_back(std::move(*next));
            m_waiting.erase(next);
        }
        return milliseconds;
    }

    /// Preempts the least urgent, most recently admitted generations until the next step fits.
    void make_room()
    {
        while (m_running.size() > 1 && kv_used_tokens() + running() > m_settings.kv_capacity_tokens)
        {
            auto victim = m_running.begin();
            for (auto job = m_running.begin(); job != m_running.end(); ++job)
                if (job->priority >= victim->priority)
                    victim = job;
            ++victim->preempted;
            ++m_preemptions;
            m_waiting.push_front(std::move(*victim));
            m_running.erase(victim);
        }
    }

    void produce(engine_step& result)
    {
        for (auto& job : m_running)
        {
            bool const finished = job.produced + 1 >= job.output_tokens;
            result.tokens.push_back({job.id, job.produced, finished});
            ++job.produced;
            if (finished && m_cold && ++m_completions >= m_settings.warm_after_completions)
                m_cold = false;
        }
        std::erase_if(m_running,
                      [](engine_job const& job) { return job.produced >= job.output_tokens; });
    }

    /// Returns true when the prefix was cached, and makes it the most recently used one.
    bool touch_prefix(std::uint64_t hash)
    {
        if (hash == 0)
            return false;
        auto const found = std::find(m_prefixes.begin(), m_prefixes.end(), hash);
        bool const hit = found != m_prefixes.end();
        if (hit)
            m_prefixes.erase(found);
        m_prefixes.push_front(hash);
        if (m_prefixes.size() > m_settings.prefix_cache_entries)
            m_prefixes.pop_back();
        return hit;
    }

    engine_model_settings m_settings;
    std::vector<engine_job> m_running;
    std::deque<engine_job> m_waiting;
    std::list<std::uint64_t> m_prefixes;
    std::int64_t m_preemptions = 0;
    int m_completions = 0;
    bool m_cold;
};

} // namespace jasminepier::stand_ins
