/// A thread that calls a function periodically until it is destroyed.
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
    /// Calls `task` at once, and again `interval` after each call has returned.
    periodic_thread(std::chrono::milliseconds interval, std::function<void()> task)
        : m_thread(
              [this, interval, task = std::move(task)]
              {
                  std::unique_lock lock(m_mutex);
                  while (!m_stop_requested)
                  {
                      lock.unlock();
                      task();
                      lock.lock();
                      m_wake_up.wait_for(lock, interval, [&] { return m_stop_requested; });
                  }
              })
    {
    }
    periodic_thread(periodic_thread const&) = delete;
    periodic_thread& operator=(periodic_thread const&) = delete;
    /// Waits for a running call of the task to return.
    ~periodic_thread()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stop_requested = true;
        }
        m_wake_up.notify_all();
        m_thread.join();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_wake_up;
    bool m_stop_requested = false;
    std::thread m_thread;
};

} // namespace jasminepier::base
