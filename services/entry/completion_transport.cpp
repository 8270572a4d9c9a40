#include "services/entry/completion_transport.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "decision/prompt_part_format.hpp"
#include "http/connection_probe.hpp"
#include "services/entry/entry_metrics.hpp"

#include <thread>
#include <utility>

namespace jasminepier::entry
{
namespace
{

using decision::attempt_event;
using decision::attempt_failure;
using decision::start_failure;

/// Maximum wait of a read. Between reads the caller's connection is checked.
constexpr std::chrono::milliseconds read_poll_interval{250};
constexpr std::chrono::milliseconds server_poll_interval{100};
/// Reads follow each other within `read_poll_interval`. A longer gap than this means that the
/// process was paused.
constexpr std::chrono::seconds pause_threshold{2};
/// Delay before each consecutive resume after the first. A dying process resets its connections
/// shortly before its port closes; without the delay all resumes would be used up in between.
constexpr std::chrono::milliseconds resume_delay{100};
/// Value of the state in a load digest; see jasminepier.thrift.
constexpr int digest_leaving = 2;

/// Returns true if the engine aborted the generation, which leaves the completion incomplete.
bool is_aborted(Poco::Dynamic::Var const& finish_reason)
{
    if (!finish_reason.isString())
        return false;
    auto const text = finish_reason.convert<std::string>();
    return text == "abort" || text == "cancelled" || text == "error";
}

base::result<decision::generation_token> parse_token(base::json_object const& event)
{
    decision::generation_token token;
    BOOST_LEAF_ASSIGN(token.index, base::read_integer(event, "token_index"));
    auto choices = event->getArray("choices");
    auto choice = choices ? choices->getObject(0) : nullptr;
    if (!choice)
        return base::fail(base::error_kind::server_failed, "an event has no choice");
    token.is_last = choice->has("finish_reason") && !choice->isNull("finish_reason");
    if (token.is_last && is_aborted(choice->get("finish_reason")))
        return base::fail(base::error_kind::generation_lost, "the engine aborted the generation");
    std::ostringstream text;
    choices->stringify(text);
    token.payload = text.str();
    if (auto usage = event->getObject("usage"))
        token.extra_members = ",\"usage\":" + base::write_json(usage);
    return token;
}

} // namespace

std::optional<start_failure> completion_transport::start()
{
    finish_attempt(attempt_outcome::failed);
    // Crashes at shorter distances would count as one, although the retries follow each other.
    if (m_last_unanswered_crash)
        std::this_thread::sleep_until(*m_last_unanswered_crash +
                                      decision::poison_request_detector::minimum_crash_distance);
    auto const verdict =
        m_serving.poison_requests().classify(m_job.fingerprint, base::steady_clock_source{}.now());
    if (verdict == decision::poison_verdict::rejected)
        return start_failure{attempt_failure::not_connected,
                             base::error{base::error_kind::request_crashes_servers,
                                         "servers died repeatedly while running this request"},
                             ""};
    if (auto refusal = check_prompt_parts())
        return start_failure{attempt_failure::not_connected, std::move(refusal), ""};
    if (auto refusal = select_server(verdict == decision::poison_verdict::suspected))
        return start_failure{attempt_failure::not_connected, std::move(refusal), ""};
    // Another node may have reported a crash while this request waited for a server.
    if (auto refusal = check_prompt_parts())
        return start_failure{attempt_failure::not_connected, std::move(refusal), ""};
    // A trial is sent once.
    m_trial_verdict = decision::part_verdict::clean;
    auto const load = m_state.load(m_server.name);
    m_instance = load ? load->instance : "";
    m_generation_id = base::random_id();
    m_resumes = 0;
    m_connection_was_lost = false;
    m_server_died = false;
    m_answered = false;
    backend::backend_request request{"POST", "/v1/chat/completions", {}, m_job.engine_body};
    request.headers["Content-Type"] = "application/json";
    request.headers["X-Generation-Id"] = m_generation_id;
    request.headers["X-Priority"] = std::to_string(m_server.priority);
    request.headers["X-Request-Id"] = m_job.requirements.request_id;
    if (m_job.deadline)
    {
        auto const remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            *m_job.deadline - base::steady_clock_source{}.now());
        request.headers["X-Timeout-Milliseconds"] =
            std::to_string(std::max<std::int64_t>(1, remaining.count()));
    }
    return send(request, exchange_purpose::start);
}

std::optional<start_failure> completion_transport::resume(std::int64_t index)
{
    if (m_resumes++ > 0)
        std::this_thread::sleep_for(resume_delay);
    return send(
        {"GET", "/v1/generations/" + m_generation_id + "?from=" + std::to_string(index), {}, ""},
        exchange_purpose::resume);
}

std::optional<start_failure> completion_transport::send(backend::backend_request const& request,
                                                        exchange_purpose purpose)
{
    m_reader.reset();
    m_purpose = purpose;
    m_last_read = std::chrono::steady_clock::now();
    m_last_event = std::chrono::steady_clock::now();
    backend::exchange_timeouts timeouts;
    timeouts.receive = m_serving.settings().engine_silence_timeout;
    m_exchange = std::make_unique<backend::http_exchange>(
        backend::endpoint{m_server.host, m_server.port}, timeouts);
    auto const failure = base::handle(
        [&]() -> base::result<std::optional<base::error>>
        {
            BOOST_LEAF_CHECK(m_exchange->send(request));
            return std::optional<base::error>{};
        },
        [](base::error const& error) { return std::optional<base::error>(error); });
    if (!failure)
        return std::nullopt;
    if (failure->kind != base::error_kind::server_unreachable)
        return start_failure{attempt_failure::connection_lost, {}, failure->message};
    if (purpose == exchange_purpose::start)
        return start_failure{attempt_failure::not_connected, {}, failure->message};
    // A lost connection followed by a refused one means that the process died; a timeout does not.
    m_server_died = m_connection_was_lost && m_exchange->connection_refused();
    return start_failure{attempt_failure::generation_gone, {}, failure->message};
}

bool completion_transport::was_paused() const
{
    return m_was_paused || std::chrono::steady_clock::now() - m_last_read > pause_threshold;
}

attempt_event completion_transport::read()
{
    m_was_paused = was_paused();
    m_last_read = std::chrono::steady_clock::now();
    try
    {
        if (m_reader)
            return read_event();
        if (!m_exchange->wait_readable(read_poll_interval))
            return check_silence();
        return receive_response_head();
    }
    catch (std::exception const& failure)
    {
        m_connection_was_lost = true;
        return make_failure(attempt_failure::connection_lost, failure.what());
    }
}

attempt_event completion_transport::receive_response_head()
{
    std::string failure;
    auto const status =
        base::handle([&]() -> base::result<int> { return m_exchange->receive_status(); },
                     [&](base::error const& error)
                     {
                         failure = error.message;
                         return 0;
                     });
    if (status == 200)
    {
        m_reader = std::make_unique<backend::event_stream_reader>(m_exchange->body());
        return {};
    }
    auto const reason = "the engine responded with status " + std::to_string(status);
    if (status == 0)
    {
        m_connection_was_lost = true;
        return make_failure(attempt_failure::connection_lost, std::move(failure));
    }
    bool const is_error = status / 100 == 4 || status / 100 == 5;
    // The engine may run the request.
    if (m_purpose == exchange_purpose::start && !is_error)
        return make_failure(attempt_failure::connection_lost, reason);
    if (m_purpose == exchange_purpose::resume || status == 404 || status >= 500)
        return make_failure(status == 503 && m_purpose == exchange_purpose::start
                                ? attempt_failure::declined
                                : attempt_failure::generation_gone,
                            reason);
    return make_failure(status == 429 ? attempt_failure::declined : attempt_failure::rejected,
                        reason);
}

attempt_event completion_transport::read_event()
{
    backend::server_sent_event event;
    auto const polled =
        m_reader->poll([&] { return m_exchange->wait_readable(read_poll_interval); }, event);
    if (polled == backend::event_stream_reader::poll_result::waiting)
        return check_silence();
    if (polled == backend::event_stream_reader::poll_result::ended)
    {
        m_connection_was_lost = true;
        return make_failure(attempt_failure::connection_lost, "the engine closed the connection");
    }
    m_last_event = std::chrono::steady_clock::now();
    m_resumes = 0;
    m_connection_was_lost = false;
    if (event.data == "[DONE]")
        return {attempt_event::type::end, m_generation_id, {}, {}, {}};
    return parse_event(event.data);
}

attempt_event completion_transport::parse_event(std::string const& data)
{
    return base::handle(
        [&]() -> base::result<attempt_event>
        {
            BOOST_LEAF_AUTO(object, base::parse_json_object(data));
            attempt_event event{attempt_event::type::token, {}, {}, {}, {}};
            BOOST_LEAF_ASSIGN(event.generation_id, base::read_string(object, "id"));
            BOOST_LEAF_ASSIGN(event.token, parse_token(object));
            // The first event only opens the response.
            if (event.token.index > 0 || event.token.is_last)
                record_answered();
            if (m_acquired && !event.token.is_last)
                m_state.record_tokens(m_server.ticket);
            // The last event carries the usage and no token.
            if (!event.token.is_last)
                observe_token();
            return event;
        },
        [&](base::error const& failure)
        {
            return make_failure(failure.kind == base::error_kind::generation_lost
                                    ? attempt_failure::generation_gone
                                    : attempt_failure::connection_lost,
                                failure.message);
        });
}

attempt_event completion_transport::check_silence() const
{
    if (std::chrono::steady_clock::now() - m_last_event <
        m_serving.settings().engine_silence_timeout)
        return {};
    return make_failure(attempt_failure::silent, "the engine is silent");
}

attempt_event completion_transport::make_failure(attempt_failure failure, std::string reason) const
{
    base::log_line(base::log_level::info, "attempt_failed")
        .field("request_id", m_job.requirements.request_id)
        .field("generation", m_generation_id)
        .field("server", m_server.name)
        .field("failure", decision::to_string(failure))
        .field("reason", reason);
    return {attempt_event::type::failure, m_generation_id, {}, failure, std::move(reason)};
}

void completion_transport::abandon_attempt(attempt_failure failure)
{
    if (failure == attempt_failure::generation_gone && m_connection_was_lost && !m_server_died)
        m_server_died = port_is_closed();
    if (failure == attempt_failure::generation_gone && m_server_died)
        record_crash();
    else if (failure != attempt_failure::not_connected)
        cancel();
    bool const server_lost = failure == attempt_failure::not_connected ||
                             (failure == attempt_failure::generation_gone && m_server_died);
    if (server_lost)
        m_state.mark_server_lost(m_server.name);
    m_failed_servers.insert(m_server.name);
    finish_attempt(attempt_outcome::failed);
}

bool completion_transport::port_is_closed() const
{
    return http::refuses_connection(
        Poco::Net::SocketAddress(m_server.host, m_server.port).toString(),
        backend::exchange_timeouts{}.connect);
}

void completion_transport::record_completion()
{
    m_final_outcome = attempt_outcome::completed;
    if (m_serving.poison_requests().record_completed(m_job.fingerprint,
                                                     base::steady_clock_source{}.now()))
        base::log_line(base::log_level::info, "request_cleared")
            .field("request_id", m_job.requirements.request_id);
}

void completion_transport::record_crash()
{
    // A planned shutdown of the server is not evidence of a poison request.
    auto const snapshot = m_state.snapshot();
    auto const listed = snapshot->servers.find(m_server.name);
    auto const load = m_state.load(m_server.name);
    bool const planned = (listed != snapshot->servers.end() && listed->second.leaving) ||
                         (load && load->state == digest_leaving);
    auto const instance = m_instance.empty() ? m_generation_id : m_instance;
    bool const recorded = !planned && m_serving.poison_requests().record(
                                          {m_job.fingerprint, m_server.name, instance, 0},
                                          base::steady_clock_source{}.now());
    base::log_line(base::log_level::warning, "server_died")
        .field("request_id", m_job.requirements.request_id)
        .field("server", m_server.name)
        .field("instance", instance)
        .field("suspected", recorded ? "yes" : "no");
    if (planned || m_answered)
        return;
    m_last_unanswered_crash = base::steady_clock_source{}.now();
    auto const suspects = m_serving.poison_requests().record_unanswered(
        m_job.prompt_parts, m_server.name, instance, base::steady_clock_source{}.now());
    for (auto const part : suspects)
        base::log_line(base::log_level::warning, "prompt_part_suspected")
            .field("request_id", m_job.requirements.request_id)
            .field("part", decision::format_prompt_part(part))
            .field("server", m_server.name);
}

void completion_transport::record_answered()
{
    if (std::exchange(m_answered, true))
        return;
    auto const cleared = m_serving.poison_requests().record_answered(
        m_job.prompt_parts, base::steady_clock_source{}.now());
    for (auto const part : cleared)
        base::log_line(base::log_level::info, "prompt_part_cleared")
            .field("request_id", m_job.requirements.request_id)
            .field("part", decision::format_prompt_part(part));
}

bool completion_transport::try_begin_trial(decision::part_judgement const& judgement,
                                           base::time_point now)
{
    auto& detector = m_serving.poison_requests();
    auto const deciding_part = detector.find_due_trial(m_job.prompt_parts, now);
    if (!deciding_part ||
        !detector.try_begin_trial(m_job.prompt_parts, m_serving.find_trial_position(*deciding_part),
                                  now))
        return false;
    m_trial_verdict = judgement.verdict;
    base::log_line(base::log_level::info, "prompt_part_tried")
        .field("request_id", m_job.requirements.request_id)
        .field("part", decision::format_prompt_part(judgement.part))
        .field("ambiguous", judgement.verdict == decision::part_verdict::ambiguous ? 1 : 0);
    return true;
}

std::optional<base::error> completion_transport::check_prompt_parts()
{
    auto const now = base::steady_clock_source{}.now();
    auto const judgement = m_serving.poison_requests().judge_parts(m_job.prompt_parts, now);
    if (judgement.verdict <= m_trial_verdict || try_begin_trial(judgement, now))
        return std::nullopt;
    base::log_line(base::log_level::warning, "prompt_part_rejected")
        .field("request_id", m_job.requirements.request_id)
        .field("part", decision::format_prompt_part(judgement.part))
        .field("ambiguous", judgement.verdict == decision::part_verdict::ambiguous ? 1 : 0)
        .field("retry_after_ms", judgement.retry_after.count());
    return base::error{base::error_kind::no_server, "a message of the prompt crashes servers"};
}

void completion_transport::adopt(selected_server server, std::string generation_id)
{
    m_server = std::move(server);
    m_generation_id = std::move(generation_id);
}

void completion_transport::cancel()
{
    m_exchange.reset();
    m_reader.reset();
    if (m_server.name.empty() || m_generation_id.empty())
        return;
    backend::http_exchange exchange({m_server.host, m_server.port}, {});
    base::handle(
        [&]() -> base::result<void> {
            return exchange.send({"DELETE", "/v1/generations/" + m_generation_id, {}, ""});
        },
        [](base::error const&) {});
}

std::optional<base::error> completion_transport::acquire(std::set<std::string> const& excluded)
{
    auto requirements = m_job.requirements;
    requirements.excluded = excluded;
    return base::handle(
        [&]() -> base::result<std::optional<base::error>>
        {
            BOOST_LEAF_ASSIGN(m_server, m_state.acquire(requirements));
            m_acquired = true;
            return std::optional<base::error>{};
        },
        [](base::error const& failure) { return std::optional<base::error>(failure); });
}

/// Acquires a server that has not failed this request. A suspected poison request also needs a
/// server without another suspected request.
std::optional<base::error> completion_transport::select_server(bool suspected)
{
    auto const deadline = std::chrono::steady_clock::now() + m_job.requirements.maximum_wait;
    auto excluded = m_failed_servers;
    // A retry waits for a server to recover. A first attempt fails at once if no server is
    // eligible.
    bool may_wait = !m_failed_servers.empty();
    for (;;)
    {
        auto failure = acquire(excluded);
        if (!failure &&
            (!suspected || m_serving.poison_requests().try_reserve_server(m_server.name)))
        {
            m_server_reserved = suspected;
            return std::nullopt;
        }
        if (!failure)
        {
            excluded.insert(m_server.name);
            may_wait = true;
            finish_attempt(attempt_outcome::cancelled);
            continue;
        }
        if (failure->kind != base::error_kind::no_server || !may_wait ||
            std::chrono::steady_clock::now() > deadline || !m_job.caller_is_connected())
            return failure;
        // Every server has failed or runs a suspected request: wait, then consider all of them
        // again.
        std::this_thread::sleep_for(server_poll_interval);
        m_failed_servers.clear();
        excluded.clear();
    }
}

void completion_transport::finish_attempt(attempt_outcome outcome)
{
    if (m_acquired)
        m_state.finish(m_server.ticket, outcome);
    if (m_server_reserved)
        m_serving.poison_requests().release_server(m_server.name);
    m_acquired = false;
    m_server_reserved = false;
}

} // namespace jasminepier::entry
