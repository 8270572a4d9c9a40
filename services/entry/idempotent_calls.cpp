#include "services/entry/idempotent_calls.hpp"

#include "base/log.hpp"
#include "http/status.hpp"
#include "services/entry/entry_metrics.hpp"

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

namespace jasminepier::entry
{
namespace
{

constexpr std::size_t maximum_attempts = 3;
constexpr int first_server_error_status = 500;
constexpr std::size_t maximum_response_bytes = 8U << 20U;

decision::attempt_failure to_attempt_failure(base::error_kind kind)
{
    return kind == base::error_kind::server_unreachable
               ? decision::attempt_failure::not_connected
               : decision::attempt_failure::connection_lost;
}

} // namespace

/// The attempts of one call, each on its own connection. The first complete response without a
/// server error ends the race and closes the connections of the other attempts.
struct idempotent_calls::attempt_race
{
    explicit attempt_race(plain_call const& source) : call(source) {}

    plain_call const call;
    std::mutex mutex;
    http::wakeup attempt_finished;
    std::set<std::string> attempted_servers;
    int running_attempts = 0;
    bool ended = false;
    std::optional<backend::backend_response> response;
    /// The latest response with a server error, returned if no attempt succeeds.
    std::optional<backend::backend_response> failed_response;
    base::error failure{base::error_kind::no_server, "no server was attempted"};
    std::vector<backend::http_exchange*> open_exchanges;

    void end()
    {
        ended = true;
        for (auto* each : open_exchanges)
            each->abort();
    }
};

bool idempotent_calls::start_attempt(std::shared_ptr<attempt_race> const& race)
{
    acquire_request requirements;
    requirements.service = race->call.service;
    requirements.customer = race->call.customer;
    requirements.kind = configuration::work_kind::lookup;
    requirements.request_id = race->call.request_id;
    requirements.deadline = race->call.deadline;
    requirements.maximum_wait = std::max(race->call.time_left(), base::milliseconds(1));
    {
        std::lock_guard lock(race->mutex);
        requirements.excluded = race->attempted_servers;
    }
    return base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_AUTO(server, m_state.acquire(requirements));
            {
                std::lock_guard lock(race->mutex);
                race->attempted_servers.insert(server.name);
                ++race->running_attempts;
            }
            std::thread([this, race, selected = server] { run_attempt(race, selected); }).detach();
            return true;
        },
        [&](base::error const& failure)
        {
            std::lock_guard lock(race->mutex);
            if (race->attempted_servers.empty())
                race->failure = failure;
            return false;
        });
}

void idempotent_calls::run_attempt(std::shared_ptr<attempt_race> const& race,
                                   selected_server const& server)
{
    auto const remaining = std::max(race->call.time_left(), base::milliseconds(1));
    backend::http_exchange exchange({server.host, server.port},
                                    {std::min(remaining, base::milliseconds(500)), remaining});
    base::error failure;
    auto const response = base::handle(
        [&]() -> base::result<std::optional<backend::backend_response>>
        {
            BOOST_LEAF_CHECK(exchange.send(race->call.forwarded));
            {
                std::lock_guard lock(race->mutex);
                if (race->ended)
                    return std::optional<backend::backend_response>();
                race->open_exchanges.push_back(&exchange);
            }
            backend::backend_response received;
            BOOST_LEAF_ASSIGN(received.status, exchange.receive_status());
            BOOST_LEAF_ASSIGN(received.body, exchange.read_body(maximum_response_bytes));
            received.content_type = exchange.content_type();
            return std::optional(received);
        },
        [&](base::error const& reason)
        {
            failure = reason;
            return std::optional<backend::backend_response>();
        });
    std::lock_guard lock(race->mutex);
    std::erase(race->open_exchanges, &exchange);
    auto const outcome = race->ended ? attempt_outcome::cancelled
                         : response  ? attempt_outcome::completed
                                     : attempt_outcome::failed;
    m_state.finish(server.ticket, outcome);
    --race->running_attempts;
    race->attempt_finished.signal();
    // The call has a result or its deadline has passed, so this result is discarded.
    if (race->ended)
        return;
    if (response && response->status < first_server_error_status &&
        !http::promises_no_execution(response->status))
    {
        race->response = response;
        race->end();
        return;
    }
    if (response)
        race->failed_response = response;
    race->failure = response ? base::error{base::error_kind::server_failed,
                                           "the service responded with a server error"}
                             : failure;
}

bool idempotent_calls::may_retry(attempt_race const& race, base::error_kind last_failure)
{
    if (race.attempted_servers.size() >= maximum_attempts)
        return false;
    auto const failure = to_attempt_failure(last_failure);
    if (decision::retry_action_for(configuration::work_kind::lookup, failure,
                                   decision::delivery_progress::nothing_delivered) !=
        decision::retry_action::rerun)
        return false;
    return failure == decision::attempt_failure::not_connected ||
           m_retries.try_spend(race.call.service);
}

base::result<backend::backend_response> idempotent_calls::execute(plain_call const& call)
{
    auto const preset = m_state.snapshot()->active_preset;
    m_retries.add_request(call.service, preset.retry_budget);
    auto const hedge_delay = m_hedging.begin_lookup(call.service, preset.hedge_budget);
    auto const started_at = base::steady_clock_source{}.now();
    auto const race = std::make_shared<attempt_race>(call);
    bool hedged = false;
    bool can_continue = start_attempt(race);
    std::unique_lock lock(race->mutex);
    while (can_continue || race->running_attempts > 0)
    {
        auto const hedge_at = hedge_delay && !hedged ? started_at + *hedge_delay : call.deadline;
        lock.unlock();
        m_shutdown.wait_for(race->attempt_finished, std::min(call.deadline, hedge_at),
                            [&]
                            {
                                std::lock_guard const race_lock(race->mutex);
                                return race->ended || race->running_attempts == 0;
                            });
        lock.lock();
        auto const now = base::steady_clock_source{}.now();
        if (race->ended || now >= m_shutdown.response_deadline(call.deadline))
            break;
        if (race->running_attempts == 0)
        {
            can_continue = may_retry(*race, race->failure.kind);
            if (can_continue)
                observe_retry();
        }
        else if (!hedged && now >= hedge_at)
        {
            hedged = true;
            if (!m_hedging.try_spend(call.service))
                continue;
            observe_hedge();
            base::log_line(base::log_level::info, "hedge")
                .field("request_id", call.request_id)
                .field("service", call.service)
                .field("after_milliseconds", hedge_delay->count());
        }
        else
            continue;
        lock.unlock();
        can_continue = can_continue && start_attempt(race);
        lock.lock();
    }
    bool const timed_out = race->running_attempts > 0 && !race->response;
    race->end();
    if (race->response || race->failed_response)
    {
        if (race->response)
            m_hedging.record_latency(call.service,
                                     std::chrono::duration_cast<base::milliseconds>(
                                         base::steady_clock_source{}.now() - started_at));
        return race->response ? *race->response : *race->failed_response;
    }
    if (timed_out)
        return base::fail(base::error_kind::server_failed,
                          "the service did not respond within the deadline");
    return base::fail(race->failure.kind, race->failure.message);
}

} // namespace jasminepier::entry
