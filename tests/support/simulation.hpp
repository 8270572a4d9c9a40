/// A deterministic scheduler for tests of concurrent code that calls a store, peers and services.
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

/// Thrown inside an actor whose node was killed, to end the actor.
struct actor_killed
{
};

/// Runs actors one at a time in simulated time. An actor ends its turn in `yield` and `sleep_for`.
/// A list of bytes determines which actor runs next and which faults occur, so RapidCheck can
/// generate and shrink schedules.
class simulation
{
public:
    explicit simulation(std::vector<std::uint8_t> random_bytes)
        : m_random_bytes(std::move(random_bytes))
    {
    }
    simulation(simulation const&) = delete;
    simulation& operator=(simulation const&) = delete;
    ~simulation() { stop_all(); }

    /// Ends all actors. Must be called before the objects that they refer to are destroyed: LEAF
    /// turns `actor_killed` into an error inside a handled call, so an actor may continue until its
    /// next `yield`.
    void stop_all()
    {
        for (auto& each : m_actors)
            each->killed = true;
        while (run_one_turn([](actor const& each) { return each.killed; }))
            ;
        for (auto& each : m_actors)
            if (each->thread.joinable())
                each->thread.join();
    }
    /// Returns true if the node of the running actor was killed.
    bool is_running_actor_killed() const { return m_running_actor->killed; }

    void spawn(int node, std::function<void()> body)
    {
        auto new_actor = std::make_unique<actor>();
        new_actor->node = node;
        new_actor->wake_time = m_now;
        auto* self = new_actor.get();
        m_actors.push_back(std::move(new_actor));
        self->thread = std::thread(
            [this, self, body = std::move(body)]
            {
                try
                {
                    wait_for_turn(*self);
                    body();
                }
                catch (actor_killed const&)
                {
                    self->killed = true;
                }
                std::lock_guard lock(m_mutex);
                self->finished = true;
                m_running_actor = nullptr;
                m_turn_ended.notify_one();
            });
    }

    /// Runs until all actors of nodes below `first_background_node` have ended. Calls
    /// `before_each_turn` before each turn, outside of all actors.
    template <class BeforeEach>
    void run(int first_background_node, BeforeEach&& before_each_turn)
    {
        while (std::any_of(m_actors.begin(), m_actors.end(),
                           [&](auto const& each) {
                               return !each->finished && !each->killed &&
                                      each->node < first_background_node;
                           }))
        {
            m_now += base::milliseconds(1);
            before_each_turn();
            while (run_one_turn([](actor const& each) { return each.killed; }))
                ;
            auto const runnable = [this](actor const& each)
            { return each.wake_time <= m_now && frozen_until(each.node) <= m_now; };
            if (!run_one_turn(runnable))
                advance_time();
        }
    }

    /// Ends the running actor's turn so that other actors can run.
    void yield() { sleep_for(base::milliseconds(0)); }
    void sleep_for(base::milliseconds duration)
    {
        auto* self = m_running_actor;
        self->wake_time = m_now + duration;
        {
            std::lock_guard lock(m_mutex);
            m_running_actor = nullptr;
            m_turn_ended.notify_one();
        }
        wait_for_turn(*self);
    }

    /// Draws a byte and returns true with a probability of `percent`. Returns false when no bytes
    /// are left.
    bool draw_bool(int percent) { return draw_index(100) >= 100 - percent; }
    /// Draws a byte and returns an index below `count`; 0 when no bytes are left.
    int draw_index(int count)
    {
        if (m_next_byte >= m_random_bytes.size())
            return 0;
        return m_random_bytes[m_next_byte++] * count / 256;
    }

    /// Kills all actors of `node` and of its background node, `node` + 100.
    void kill(int node)
    {
        for (auto& each : m_actors)
            if (each->node == node || each->node == node + 100)
                each->killed = true;
    }
    /// Pauses the actors of `node` and of its background node.
    void freeze(int node, base::milliseconds duration)
    {
        m_frozen_until[node % 100] = m_now + duration;
    }
    base::time_point frozen_until(int node) { return m_frozen_until[node % 100]; }
    base::time_point now() const { return m_now; }

private:
    struct actor
    {
        int node = 0;
        base::time_point wake_time{};
        bool killed = false;
        bool finished = false;
        std::condition_variable turn_granted;
        std::thread thread;
    };

    void wait_for_turn(actor& self)
    {
        std::unique_lock lock(m_mutex);
        self.turn_granted.wait(lock, [&] { return m_running_actor == &self; });
        if (self.killed)
            throw actor_killed{};
    }

    /// Advances the time to 1 ms before an actor can continue.
    void advance_time()
    {
        auto next_time = base::time_point::max();
        for (auto& each : m_actors)
            if (!each->finished)
                next_time =
                    std::min(next_time, std::max(each->wake_time, frozen_until(each->node)));
        if (next_time != base::time_point::max())
            m_now = std::max(m_now, next_time - base::milliseconds(1));
    }

    template <class Matches>
    bool run_one_turn(Matches&& matches)
    {
        std::vector<actor*> runnable_actors;
        for (auto& each : m_actors)
            if (!each->finished && matches(*each))
                runnable_actors.push_back(each.get());
        if (runnable_actors.empty())
            return false;
        auto* selected = runnable_actors[static_cast<std::size_t>(
            draw_index(static_cast<int>(runnable_actors.size())))];
        std::unique_lock lock(m_mutex);
        m_running_actor = selected;
        selected->turn_granted.notify_one();
        m_turn_ended.wait(lock, [&] { return m_running_actor == nullptr; });
        return true;
    }

    std::vector<std::uint8_t> m_random_bytes;
    std::size_t m_next_byte = 0;
    base::time_point m_now{base::milliseconds(1000)};
    std::array<base::time_point, 100> m_frozen_until{};
    std::vector<std::unique_ptr<actor>> m_actors;
    std::mutex m_mutex;
    std::condition_variable m_turn_ended;
    actor* m_running_actor = nullptr;
};

/// The clock of the simulation for the code under test.
struct simulated_clock
{
    simulation& scheduler;
    base::time_point now() const { return scheduler.now(); }
    void sleep_for(base::milliseconds duration) { scheduler.sleep_for(duration); }
    std::int64_t unix_seconds() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(scheduler.now().time_since_epoch())
            .count();
    }
};

} // namespace jasminepier::tests
