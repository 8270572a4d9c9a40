/// A small model of an inference engine: continuous batching, a KV cache with preemption, a prefix
/// cache and cold start. It runs in virtual time: the HTTP stand-in and the benchmarks call step()
/// and advance their clock by the duration that it returns.
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
    /// Base duration of a decode step, milliseconds.
    double step_milliseconds = 12;
    /// Additional duration of a decode step per running generation, milliseconds.
    double step_milliseconds_per_generation = 0.15;
    /// Prompt tokens processed per millisecond; prefill lengthens the step in which it runs.
    double prefill_tokens_per_millisecond = 20;
    /// A cold engine crashes if it runs more generations than this.
    int cold_capacity = 2;
    /// Number of completed generations after which a cold engine is warm.
    int warm_after_completions = 8;
    /// Factor by which a cold engine's steps take longer.
    double cold_slowdown = 5;
    /// Maximum number of cached prompt prefixes; the least recently used is evicted.
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
    /// Prompt tokens whose prefill is skipped if the prefix is cached.
    std::int64_t prefix_tokens = 0;
    std::int64_t produced_tokens = 0;
    int preemption_count = 0;
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

    /// Removes a running or waiting generation. Returns false if it is unknown.
    bool cancel(std::string const& id)
    {
        auto const matches = [&](engine_job const& job) { return job.id == id; };
        auto const before = m_running.size() + m_waiting.size();
        std::erase_if(m_running, matches);
        std::erase_if(m_waiting, matches);
        return m_running.size() + m_waiting.size() != before;
    }

    /// Makes the engine cold again, as after the loss of its cache or a driver reset.
    void turn_cold()
    {
        m_cold = true;
        m_completions = 0;
    }

    /// Admits waiting generations and runs one decode step for the whole batch.
    engine_step step()
    {
        engine_step result;
        double const prefill = admit_waiting();
        if (m_cold && running() > m_settings.cold_capacity)
        {
            result.failed = true;
            return result;
        }
        preempt_until_step_fits();
        result.milliseconds = m_settings.step_milliseconds + prefill +
                              m_settings.step_milliseconds_per_generation * running();
        if (m_cold)
            result.milliseconds *= m_settings.cold_slowdown;
        decode_step(result);
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
            used += job.prompt_tokens + job.produced_tokens;
        return used;
    }

private:
    /// Moves waiting jobs into the batch, most urgent first, while the batch and the KV cache have
    /// room. Returns the prefill time, milliseconds.
    double admit_waiting()
    {
        double milliseconds = 0;
        std::int64_t used = kv_used_tokens();
        while (!m_waiting.empty() && running() < m_settings.max_running)
        {
            auto const next = std::min_element(m_waiting.begin(), m_waiting.end(),
                                               [](engine_job const& left, engine_job const& right)
                                               { return left.priority < right.priority; });
            auto const needed = next->prompt_tokens + next->produced_tokens + 1;
            if (used + needed > m_settings.kv_capacity_tokens && !m_running.empty())
                break;
            used += needed;
            auto prefill = needed;
            if (use_prefix(next->prefix_hash))
                prefill -= std::min(prefill, next->prefix_tokens);
            milliseconds +=
                static_cast<double>(prefill) / m_settings.prefill_tokens_per_millisecond;
            m_running.push_back(std::move(*next));
            m_waiting.erase(next);
        }
        return milliseconds;
    }

    /// Preempts generations, least urgent and then most recently admitted first, until the tokens
    /// of the next step fit into the KV cache.
    void preempt_until_step_fits()
    {
        while (m_running.size() > 1 && kv_used_tokens() + running() > m_settings.kv_capacity_tokens)
        {
            auto preempted_job = m_running.begin();
            for (auto job = m_running.begin(); job != m_running.end(); ++job)
                if (job->priority >= preempted_job->priority)
                    preempted_job = job;
            ++preempted_job->preemption_count;
            ++m_preemptions;
            m_waiting.push_front(std::move(*preempted_job));
            m_running.erase(preempted_job);
        }
    }

    void decode_step(engine_step& result)
    {
        for (auto& job : m_running)
        {
            bool const finished = job.produced_tokens + 1 >= job.output_tokens;
            result.tokens.push_back({job.id, job.produced_tokens, finished});
            ++job.produced_tokens;
            if (finished && m_cold && ++m_completions >= m_settings.warm_after_completions)
                m_cold = false;
        }
        std::erase_if(m_running, [](engine_job const& job)
                      { return job.produced_tokens >= job.output_tokens; });
    }

    /// Adds the prefix to the cache, or marks it as most recently used. Returns true if it was
    /// cached.
    bool use_prefix(std::uint64_t hash)
    {
        if (hash == 0)
            return false;
        auto const found = std::find(m_cached_prefixes.begin(), m_cached_prefixes.end(), hash);
        bool const hit = found != m_cached_prefixes.end();
        if (hit)
            m_cached_prefixes.erase(found);
        m_cached_prefixes.push_front(hash);
        if (m_cached_prefixes.size() > m_settings.prefix_cache_entries)
            m_cached_prefixes.pop_back();
        return hit;
    }

    engine_model_settings m_settings;
    std::vector<engine_job> m_running;
    std::deque<engine_job> m_waiting;
    std::list<std::uint64_t> m_cached_prefixes;
    std::int64_t m_preemptions = 0;
    int m_completions = 0;
    bool m_cold;
};

} // namespace jasminepier::stand_ins
