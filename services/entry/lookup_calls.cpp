#include "services/entry/lookup_calls.hpp"

#include "base/log.hpp"
#include "services/entry/entry_metrics.hpp"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <thread>
#include <vector>

namespace jasminepier::entry
{
namespace
{

constexpr std::size_t most_attempts = 3;
constexpr int first_server_error = 500;
constexpr std::size_t largest_answer_bytes = 8U << 20U;

decision::attempt_failure failure_of(base::error_kind kind)
{
    return kind == base::error_kind::server_unreachable
               ? decision::attempt_failure::not_connected
               : decision::attempt_failure::connection_lost;
}

} // namespace

/// The attempts of one lookup. Each has its own connection; the first whole answer ends the race
/// and the connections of the others are closed.
struct lookup_calls::race
{
    explicit race(plain_call const& source) : call(source) {}

    plain_call const call;
    std::mutex mutex;
    std::condition_variable changed;
    std::set<std::string> tried;
    int running = 0;
    bool ended = false;
    std::optional<backend::backend_response> answer;
    /// The latest answer with a server error, passed on when no attempt does better.
    std::optional<backend::backend_response> refusal;
    base::error failure{base::error_kind::no_server, "no server was tried"};
    std::vector<backend::http_exchange*> open;

    void end()
    {
        ended = true;
        for (auto* each : open)
            each->abort();
    }
};

bool lookup_calls::start_attempt(std::shared_ptr<race> const& contest)
{
    acquire_request wanted;
    wanted.service = contest->call.service;
    wanted.customer = contest->call.customer;
    wanted.kind = configuration::work_kind::lookup;
    wanted.request_id = contest->call.request_id;
    wanted.maximum_wait = std::max(contest->call.time_left(), base::milliseconds(1));
    {
        std::lock_guard lock(contest->mutex);
        wanted.excluded = contest->tried;
    }
    return base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_AUTO(server, m_state.acquire(wanted));
            {
                std::lock_guard lock(contest->mutex);
                contest->tried.insert(server.name);
                ++contest->running;
            }
            std::thread([this, contest, chosen = server] { run_attempt(contest, chosen); })
                .detach();
            return true;
        },
        [&](base::error const& failure)
        {
            std::lock_guard lock(contest->mutex);
            if (contest->tried.empty())
                contest->failure = failure;
            return false;
        });
}

void lookup_calls::run_attempt(std::shared_ptr<race> const& contest, chosen_server const& server)
{
    auto const left = std::max(contest->call.time_left(), base::milliseconds(1));
    backend::http_exchange exchange({server.host, server.port},
                                    {std::min(left, base::milliseconds(500)), left});
    base::error failure;
    auto const answer = base::handle(
        [&]() -> base::result<std::optional<backend::backend_response>>
        {
            BOOST_LEAF_CHECK(exchange.send(contest->call.forwarded));
            {
                std::lock_guard lock(contest->mutex);
                if (contest->ended)
                    return std::optional<backend::backend_response>();
                contest->open.push_back(&exchange);
            }
            backend::backend_response received;
            BOOST_LEAF_ASSIGN(received.status, exchange.receive_status());
            BOOST_LEAF_ASSIGN(received.body, exchange.read_body(largest_answer_bytes));
            received.content_type = exchange.content_type();
            return std::optional(received);
        },
        [&](base::error const& reason)
        {
            failure = reason;
            return std::optional<backend::backend_response>();
        });
    std::lock_guard lock(contest->mutex);
    std::erase(contest->open, &exchange);
    auto const outcome = contest->ended ? attempt_outcome::cancelled
                         : answer       ? attempt_outcome::completed
                                        : attempt_outcome::failed;
    m_state.finish(server.ticket, outcome);
    --contest->running;
    contest->changed.notify_all();
    // The result of a superseded attempt is dropped here and never reaches the caller.
    if (contest->ended)
        return;
    if (answer && answer->status < first_server_error)
    {
        contest->answer = answer;
        contest->end();
        return;
    }
    if (answer)
        contest->refusal = answer;
    contest->failure =
        answer ? base::error{base::error_kind::server_failed, "the service failed"} : failure;
}

bool lookup_calls::may_retry(race const& contest, base::error_kind last_failure)
{
    if (contest.tried.size() >= most_attempts)
        return false;
    auto const failure = failure_of(last_failure);
    if (decision::retry_action_for(configuration::work_kind::lookup, failure,
                                   decision::delivery_progress::nothing_delivered) !=
        decision::retry_action::rerun)
        return false;
    return failure == decision::attempt_failure::not_connected ||
           m_retries.try_spend(contest.call.service);
}

base::result<backend::backend_response> lookup_calls::execute(plain_call const& call)
{
    auto const preset = m_state.snapshot()->active_preset;
    m_retries.add_request(call.service, preset.retry_budget);
    auto const hedge_delay = m_hedging.begin_lookup(call.service, preset.hedge_budget);
    auto const begin = base::steady_clock_source{}.now();
    auto const contest = std::make_shared<race>(call);
    bool hedged = false;
    bool more = start_attempt(contest);
    std::unique_lock lock(contest->mutex);
    while (more || contest->running > 0)
    {
        auto const hedge_at = hedge_delay && !hedged ? begin + *hedge_delay : call.deadline;
        contest->changed.wait_until(lock, std::min(call.deadline, hedge_at),
                                    [&] { return contest->ended || contest->running == 0; });
        auto const now = base::steady_clock_source{}.now();
        if (contest->ended || now >= call.deadline)
            break;
        if (contest->running == 0)
        {
            more = may_retry(*contest, contest->failure.kind);
            if (more)
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
        more = more && start_attempt(contest);
        lock.lock();
    }
    bool const late = contest->running > 0 && !contest->answer;
    contest->end();
    if (contest->answer || contest->refusal)
    {
        if (contest->answer)
            m_hedging.record_latency(call.service, std::chrono::duration_cast<base::milliseconds>(
                                                       base::steady_clock_source{}.now() - begin));
        return contest->answer ? *contest->answer : *contest->refusal;
    }
    if (late)
        return base::fail(base::error_kind::server_failed, "no answer within the deadline");
    return base::fail(contest->failure.kind, contest->failure.message);
}

} // namespace jasminepier::entry
