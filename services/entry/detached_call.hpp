/// Calls that may take longer than the request that they serve.
#pragma once

#include "serving/process_shutdown.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <type_traits>

namespace jasminepier::entry
{

/// Runs `call` on a thread of its own and returns its result, or nothing if the response is due
/// before; then the call continues and its result is discarded. Without a thread, the call may take
/// longer than `deadline`.
template <class Call>
auto run_detached(serving::process_shutdown const& shutdown, base::time_point deadline, Call call)
    -> std::optional<std::invoke_result_t<Call&>>
{
    struct shared_result
    {
        std::mutex mutex;
        http::wakeup ended;
        std::optional<std::invoke_result_t<Call&>> value;
    };
    auto const shared = std::make_shared<shared_result>();
    auto run = [shared, call = std::move(call)]() mutable
    {
        auto value = call();
        std::lock_guard lock(shared->mutex);
        shared->value = std::move(value);
        shared->ended.signal();
    };
    try
    {
        std::thread(run).detach();
    }
    catch (std::system_error const&)
    {
        run();
    }
    shutdown.wait_for(shared->ended, deadline,
                      [&]
                      {
                          std::lock_guard lock(shared->mutex);
                          return shared->value.has_value();
                      });
    std::lock_guard lock(shared->mutex);
    return shared->value;
}

} // namespace jasminepier::entry
