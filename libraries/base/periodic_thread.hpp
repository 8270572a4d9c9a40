/// A thread that repeats a step until it is destroyed.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jasminepier::base
{

class periodic_thread
{
public:
    /// Calls `step` again and again, with a pause of `interval` between calls.
    periodic_thread(std::chrono::milliseconds interval, std::function<void()> step)
        : m_thread(
              [this, interval, step = std::move(step)]
              {
                  std::unique_lock lock(m_mutex);
                  while (!m_stopping)
                  {
                      lock.unlock();
                      step();
                      lock.lock();
                      m_changed.wait_for(lock, interval, [&] { return m_stopping; });
                  }
              })
    {
    }
    periodic_thread(periodic_thread const&) = delete;
    periodic_thread& operator=(periodic_thread const&) = delete;
    ~periodic_thread()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace jasminepier::base
