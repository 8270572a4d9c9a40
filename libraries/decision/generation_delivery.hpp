/// Delivers one generation to one caller: each token exactly once, in order, from a single
/// generation, whatever happens to connections and engines. Contains no sockets; tests and the
/// program drive the same code through the transport and the sink.
#pragma once

#include "base/error.hpp"
#include "base/hash.hpp"
#include "decision/retry_policy.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminepier::decision
{

/// When the tokens reach the caller.
enum class delivery_mode
{
    /// All at the end; nothing reaches the caller before.
    buffered,
    /// As they come.
    streamed,
};

/// One event of an engine's stream.
struct generation_token
{
    std::int64_t index = 0;
    /// What the caller receives of the event; compared by verified replay.
    std::string payload;
    /// Members that are delivered but not compared, such as usage.
    std::string extra_members;
    /// The event carries the finish reason; nothing may follow it.
    bool is_last = false;
};

/// What a transport reads.
struct attempt_event
{
    enum class type
    {
        token,
        /// The engine's end mark.
        end,
        /// Nothing has arrived for a moment.
        idle,
        failure,
    };
    type what = type::idle;
    /// The generation that the engine names; events of any other are discarded.
    std::string generation_id;
    generation_token token;
    attempt_failure failure = attempt_failure::connection_lost;
    /// Explains a failure to people.
    std::string reason;
};

/// A failure to start or resume an attempt. `refusal` is set when no server could be chosen.
struct start_failure
{
    attempt_failure failure = attempt_failure::not_connected;
    std::optional<base::error> refusal;
    std::string reason;
};

/// Exchanges with engines. `start` chooses a server and begins a new generation; `resume` continues
/// the current one at a token index; `read` waits a moment at most; `end` is told of every attempt
/// that is given up and closes its connection.
template <class T>
concept generation_transport = requires(T& transport, std::int64_t index, attempt_failure failure)
{
    {
        transport.start()
        } -> std::same_as<std::optional<start_failure>>;
    {
        transport.resume(index)
        } -> std::same_as<std::optional<start_failure>>;
    {
        transport.read()
        } -> std::same_as<attempt_event>;
    {
        transport.generation_id()
        } -> std::convertible_to<std::string>;
    transport.abandon_attempt(failure);
    {
        transport.try_spend_retry()
        } -> std::same_as<bool>;
};

/// Where the answer goes. `opened` names the generation before its first token; `deliver` receives
/// the digest of everything delivered up to and including the token; each returns false when the
/// caller is gone.
template <class T>
concept response_sink = requires(T& sink, generation_token const& token, std::uint64_t digest,
                                 std::int64_t next)
{
    {
        sink.begin_response(next, digest)
        } -> std::same_as<bool>;
    {
        sink.deliver(token, digest)
        } -> std::same_as<bool>;
    {
        sink.keep_alive()
        } -> std::same_as<bool>;
    {
        sink.finish()
        } -> std::same_as<bool>;
};

struct delivery_settings
{
    configuration::work_kind kind = configuration::work_kind::question;
    delivery_mode mode = delivery_mode::streamed;
    /// Generations that reached an engine. Three deaths make a request refused anyway.
    int maximum_attempts = 4;
    /// Servers tried, those included that could not be connected.
    int maximum_starts = 12;
    /// Resumes in a row that bring no new token.
    int maximum_resumes = 3;
    /// Bytes kept for delivery at the end. When more arrive, a streamed answer is released as if it
    /// had been streamed from the start, and an unstreamed one fails.
    std::size_t maximum_buffered_bytes = 8U << 20U;
    bool may_switch_to_streaming = true;
    /// No attempt is started after this time, and the delivery ends.
    std::optional<base::time_point> deadline;
};

/// A position in an answer that an earlier delivery reached.
struct delivery_position
{
    /// Tokens that the caller holds.
    std::int64_t delivered = 0;
    /// Digest of these tokens.
    std::uint64_t digest = 0;
};

enum class delivery_status
{
    complete,
    caller_disconnected,
    failed,
};

struct delivery_result
{
    delivery_status status = delivery_status::failed;
    /// Set when the delivery failed.
    base::error error;
    std::int64_t delivered = 0;
    int attempts = 0;
    int resumes = 0;
};

inline std::uint64_t extend_digest(std::uint64_t digest, std::string_view payload) noexcept
{
    return base::stable_hash(payload, digest + 1);
}

template <base::clock_source Clock, generation_transport Transport, response_sink Sink>
class generation_delivery
{
public:
    generation_delivery(delivery_settings settings, Clock const& clock, Transport& transport,
                        Sink& sink)
        : m_settings(settings), m_clock(clock), m_transport(transport), m_sink(sink)
    {
    }

    /// Serves a new request to its end.
    delivery_result run()
    {
        if (auto failed = start())
            recover(std::move(*failed));
        return drive();
    }

    /// Serves the rest of an answer whose generation the transport already knows.
    delivery_result resume_from(delivery_position position)
    {
        m_delivered = position.delivered;
        m_expected = position.delivered;
        m_digest = position.digest;
        m_outcome.attempts = 1;
        m_sent = true;
        if (!m_sink.begin_response(m_delivered, m_digest))
            end(delivery_status::caller_disconnected);
        else
            recover({attempt_failure::connection_lost, {}, "continued by the caller"});
        return drive();
    }

private:
    using event_type = attempt_event::type;

    delivery_result drive()
    {
        while (!m_ended)
            take(m_transport.read());
        m_outcome.delivered = m_delivered;
        return m_outcome;
    }

    void take(attempt_event event)
    {
        if (m_settings.deadline && m_clock.now() > *m_settings.deadline)
            return fail(base::error_kind::generation_lost, "the deadline has passed");
        if (event.what == event_type::failure)
            return recover({event.failure, {}, std::move(event.reason)});
        if (event.what == event_type::idle)
            return keep_alive();
        // An answer of a superseded or of another request's generation.
        if (event.generation_id != m_transport.generation_id())
            return keep_alive();
        // The finish reason ends an answer, not the end mark, which says nothing about its length.
        if (event.what == event_type::end)
            return recover({attempt_failure::connection_lost, {}, "the stream ended early"});
        bool const last = event.token.is_last;
        accept(std::move(event.token));
        if (last && !m_ended && m_accepted)
            finish();
    }

    void keep_alive()
    {
        if (!m_sink.keep_alive())
            end(delivery_status::caller_disconnected);
    }

    void accept(generation_token token)
    {
        m_accepted = token.index == m_expected;
        if (!m_accepted)
            return recover({attempt_failure::sequence_broken,
                            {},
                            "expected token " + std::to_string(m_expected) + ", got " +
                                std::to_string(token.index)});
        ++m_expected;
        m_idle_resumes = 0;
        if (token.index < m_delivered)
            return compare(token);
        if (m_settings.mode == delivery_mode::streamed)
            return deliver(token);
        m_kept_bytes += token.payload.size() + token.extra_members.size() + sizeof(token);
        m_kept.push_back(std::move(token));
        if (m_kept_bytes > m_settings.maximum_buffered_bytes)
            return exceed_memory();
        keep_alive();
    }

    void exceed_memory()
    {
        if (!m_settings.may_switch_to_streaming)
            return fail(base::error_kind::server_failed, "the answer is too long; stream it");
        m_settings.mode = delivery_mode::streamed;
        release();
    }

    /// Compares a token of a verified replay with what was delivered.
    void compare(generation_token const& token)
    {
        m_replay_digest = extend_digest(m_replay_digest, token.payload);
        if (token.index + 1 == m_delivered && m_replay_digest != m_digest)
            return fail(base::error_kind::generation_lost,
                        "the engine was lost and a new generation differs");
        keep_alive();
    }

    void deliver(generation_token const& token)
    {
        m_digest = extend_digest(m_digest, token.payload);
        ++m_delivered;
        if (!m_sink.deliver(token, m_digest))
            end(delivery_status::caller_disconnected);
    }

    void release()
    {
        auto const kept = std::exchange(m_kept, {});
        m_kept_bytes = 0;
        for (auto const& token : kept)
            if (!m_ended)
                deliver(token);
    }

    void finish()
    {
        if (m_expected < m_delivered)
            return fail(base::error_kind::generation_lost,
                        "the engine was lost and a new generation is shorter");
        release();
        if (!m_ended)
            end(m_sink.finish() ? delivery_status::complete : delivery_status::caller_disconnected);
    }

    std::optional<start_failure> start()
    {
        ++m_starts;
        m_expected = 0;
        m_replay_digest = 0;
        m_idle_resumes = 0;
        m_kept.clear();
        m_kept_bytes = 0;
        if (auto failed = m_transport.start())
            return failed;
        ++m_outcome.attempts;
        m_sent = true;
        if (m_delivered == 0 && !m_sink.begin_response(0, 0))
            end(delivery_status::caller_disconnected);
        return std::nullopt;
    }

    /// Follows the retry table until an attempt runs or the delivery has ended.
    void recover(start_failure failed)
    {
        while (!m_ended)
        {
            if (failed.refusal)
                return refuse(failed);
            auto next = apply(failed);
            if (!next)
                return;
            failed = std::move(*next);
        }
    }

    std::optional<start_failure> apply(start_failure const& failed)
    {
        auto const progress = m_delivered > 0 ? delivery_progress::partly_delivered
                                              : delivery_progress::nothing_delivered;
        switch (retry_action_for(m_settings.kind, failed.failure, progress))
        {
        case retry_action::resume:
            if (m_idle_resumes++ >= m_settings.maximum_resumes)
                return start_failure{attempt_failure::generation_gone, {}, failed.reason};
            ++m_outcome.resumes;
            return m_transport.resume(m_expected);
        case retry_action::rerun:
        case retry_action::verified_replay:
            m_transport.abandon_attempt(failed.failure);
            return rerun(failed);
        case retry_action::report_rejected:
            fail(base::error_kind::bad_request, failed.reason);
            break;
        case retry_action::report_not_run:
        case retry_action::report_unknown:
            m_transport.abandon_attempt(failed.failure);
            fail(lost_kind(), failed.reason);
            break;
        }
        return std::nullopt;
    }

    std::optional<start_failure> rerun(start_failure const& failed)
    {
        bool const sent = failed.failure != attempt_failure::not_connected;
        if (m_outcome.attempts >= m_settings.maximum_attempts ||
            m_starts >= m_settings.maximum_starts ||
            (m_settings.deadline && m_clock.now() > *m_settings.deadline) ||
            (sent && !m_transport.try_spend_retry()))
        {
            fail(lost_kind(), failed.reason);
            return std::nullopt;
        }
        return start();
    }

    /// A refusal of the router says "not run"; that is true only when nothing was sent before.
    void refuse(start_failure const& failed)
    {
        if (!m_sent && m_delivered == 0 &&
            base::error_response_for(failed.refusal->kind).execution ==
                base::execution_status::not_run)
            return fail(failed.refusal->kind, failed.refusal->message);
        if (failed.refusal->kind == base::error_kind::request_crashes_servers && m_delivered == 0)
            return fail(failed.refusal->kind, failed.refusal->message);
        fail(base::error_kind::generation_lost, failed.refusal->message);
    }

    base::error_kind lost_kind() const noexcept
    {
        return m_sent ? base::error_kind::generation_lost : base::error_kind::server_unreachable;
    }

    void fail(base::error_kind kind, std::string message)
    {
        m_outcome.error = {kind, std::move(message)};
        end(delivery_status::failed);
    }

    void end(delivery_status how)
    {
        m_ended = true;
        m_outcome.end = how;
    }

    delivery_settings m_settings;
    Clock const& m_clock;
    Transport& m_transport;
    Sink& m_sink;
    delivery_result m_outcome;
    bool m_ended = false;
    /// An engine received the request at least once.
    bool m_sent = false;
    /// Index of the next token of the current generation.
    std::int64_t m_expected = 0;
    /// The latest token had the expected index.
    bool m_accepted = false;
    std::int64_t m_delivered = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_replay_digest = 0;
    int m_idle_resumes = 0;
    int m_starts = 0;
    std::vector<generation_token> m_kept;
    std::size_t m_kept_bytes = 0;
};

} // namespace jasminepier::decision
