/// A deterministic scheduler for code that calls a store, peers and services.
#pragma once

#include "base/clock.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace jasminepier::tests
{

/// Thrown inside an actor whose node was killed; nothing of the actor runs afterwards.
struct killed
{
};

/// Runs actors one at a time. An actor gives up its turn in `step` and `sleep_for`; which actor
/// continues, and every fault, follows from a list of bytes, so that RapidCheck shrinks schedules.
class simulation
{
public:
    explicit simulation(std::vector<std::uint8_t> choices) : m_choices(std::move(choices)) {}
    simulation(simulation const&) = delete;
    simulation& operator=(simulation const&) = delete;
    ~simulation() { stop_all(); }

    /// Ends all actors. Called before what they refer to is destroyed: LEAF turns `killed` into an
    /// error inside a handled call, so that an actor may run on until its next step.
    void stop_all()
    {
        for (auto& each : m_actors)
            each->dead = true;
        while (resume_one([](actor const& each) { return each.dead; }))
            ;
        for (auto& each : m_actors)
            if (each->thread.joinable())
                each->thread.join();
    }
    /// Returns true inside an actor whose node was killed.
    bool is_running_actor_killed() const { return m_running->dead; }

    void spawn(int node, std::function<void()> body)
    {
        auto created = std::make_unique<actor>();
        created->node = node;
        created->wake = m_now;
        auto* self = created.get();
        m_actors.push_back(std::move(created));
        self->thread = std::thread(
            [this, self, body = std::move(body)]
            {
                try
                {
                    wait_for_turn(*self);
                    body();
                }
                catch (killed const&)
                {
                    self->dead = true;
                }
                std::lock_guard lock(m_mutex);
                self->finished = true;
                m_running = nullptr;
                m_turn_ended.notify_one();
            });
    }

    /// Runs until no actor of a node below `background_node` is left.
    template <class BeforeEach>
    void run(int background_node, BeforeEach&& before_each)
    {
        while (std::any_of(m_actors.begin(), m_actors.end(),
                           [&](auto const& each) {
                               return !each->finished && !each->dead &&
                                      each->node < background_node;
                           }))
        {
            m_now += base::milliseconds(1);
            before_each();
            while (resume_one([](actor const& each) { return each.dead; }))
                ;
            auto const runnable = [this](actor const& each)
            { return each.wake <= m_now && frozen_until(each.node) <= m_now; };
            if (!resume_one(runnable))
                advance();
        }
    }

    /// Lets other actors run.
    void yield() { sleep_for(base::milliseconds(0)); }
    void sleep_for(base::milliseconds duration)
    {
        auto* self = m_running;
        self->wake = m_now + duration;
        {
            std::lock_guard lock(m_mutex);
            m_running = nullptr;
            m_turn_ended.notify_one();
        }
        wait_for_turn(*self);
    }

    /// Returns true for `percent` of the bytes; false when the bytes are used up.
    bool draw_bool(int percent) { return draw_index(100) >= 100 - percent; }
    int draw_index(int count)
    {
        if (m_position >= m_choices.size())
            return 0;
        return m_choices[m_position++] * count / 256;
    }

    void kill(int node)
    {
        for (auto& each : m_actors)
            if (each->node == node || each->node == node + 100)
                each->dead = true;
    }
    void freeze(int node, base::milliseconds duration) { m_frozen[node % 100] = m_now + duration; }
    base::time_point frozen_until(int node) { return m_frozen[node % 100]; }
    base::time_point now() const { return m_now; }

private:
    struct actor
    {
        int node = 0;
        base::time_point wake{};
        bool dead = false;
        bool finished = false;
        std::condition_variable granted;
        std::thread thread;
    };

    void wait_for_turn(actor& self)
    {
        std::unique_lock lock(m_mutex);
        self.granted.wait(lock, [&] { return m_running == &self; });
        if (self.dead)
            throw killed{};
    }

    /// Moves to just before the next moment at which an actor can continue.
    void advance()
    {
        auto next = base::time_point::max();
        for (auto& each : m_actors)
            if (!each->finished)
                next = std::min(next, std::max(each->wake, frozen_until(each->node)));
        if (next != base::time_point::max())
            m_now = std::max(m_now, next - base::milliseconds(1));
    }

    template <class Matches>
    bool resume_one(Matches&& matches)
    {
        std::vector<actor*> ready;
        for (auto& each : m_actors)
            if (!each->finished && matches(*each))
                ready.push_back(each.get());
        if (ready.empty())
            return false;
        auto* next = ready[static_cast<std::size_t>(draw_index(static_cast<int>(ready.size())))];
        std::unique_lock lock(m_mutex);
        m_running = next;
        next->granted.notify_one();
        m_turn_ended.wait(lock, [&] { return m_running == nullptr; });
        return true;
    }

    std::vector<std::uint8_t> m_choices;
    std::size_t m_position = 0;
    base::time_point m_now{base::milliseconds(1000)};
    std::array<base::time_point, 100> m_frozen{};
    std::vector<std::unique_ptr<actor>> m_actors;
    std::mutex m_mutex;
    std::condition_variable m_turn_ended;
    actor* m_running = nullptr;
};

/// The simulation's time for code under test.
struct simulated_clock
{
    simulation& world;
    base::time_point now() const { return world.now(); }
    void sleep_for(base::milliseconds duration) { world.sleep_for(duration); }
    std::int64_t unix_seconds() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(world.now().time_since_epoch())
            .count();
    }
};

} // namespace jasminepier::tests
