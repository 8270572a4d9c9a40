/// Delivery of a generation to its caller. Each token arrives exactly once, in order and from a
/// single generation, even if connections or engines fail. Contains no sockets: tests and the entry
/// process run the same code with different transports and sinks.
#pragma once

#include "base/error.hpp"
#include "base/hash.hpp"
#include "decision/retry_policy.hpp"
#include "decision/shutdown_admission.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminepier::decision
{

enum class delivery_mode
{
    /// The caller receives all tokens when the generation is complete.
    buffered,
    /// The caller receives each token as soon as it arrives.
    streamed,
};

/// A token event of an engine's stream.
struct generation_token
{
    std::int64_t index = 0;
    /// The part of the event that the caller receives and that a verified replay compares.
    std::string payload;
    /// JSON members that the caller receives but that are not compared, such as usage.
    std::string extra_members;
    /// The event contains the finish reason; no token may follow it.
    bool is_last = false;
};

/// The result of one read from a transport.
struct attempt_event
{
    enum class type
    {
        token,
        /// The engine's end-of-stream marker.
        end,
        /// Nothing arrived within the poll interval.
        idle,
        failure,
    };
    type kind = type::idle;
    /// The generation id in the event. Events of other generations are discarded.
    std::string generation_id;
    generation_token token;
    attempt_failure failure = attempt_failure::connection_lost;
    /// Description of a failure, for the log and the error message.
    std::string reason;
};

/// A failure of an attempt: it didn't start or resume, or its stream failed later. `refusal` is set
/// if no server could be selected.
struct start_failure
{
    attempt_failure failure = attempt_failure::not_connected;
    std::optional<base::error> refusal;
    std::string reason;
};

/// Communication with engines. `start` selects a server and starts a new generation. `resume`
/// reconnects to the current generation at a token index. `read` blocks for one poll interval at
/// most. `abandon_attempt` ends an attempt that is given up and closes its connection.
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

/// The receiver of the response. `begin_response` is called before the first token of a generation
/// with the next token index and the digest at that position. `deliver` receives a token and the
/// digest of everything up to and including it. `keep_alive` is called while there is nothing to
/// deliver. All functions return false if the caller has disconnected.
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
    /// Attempts that reached an engine. After three crashes the request is rejected as a poison
    /// request anyway.
    int maximum_attempts = 4;
    /// Attempts including those that couldn't connect to a server.
    int maximum_start_attempts = 12;
    /// Consecutive resumes without a new token.
    int maximum_resumes_without_token = 3;
    /// Limit of buffered bytes in `delivery_mode::buffered`. When it is exceeded, the delivery
    /// switches to streaming if `may_switch_to_streaming`, otherwise it fails.
    std::size_t maximum_buffered_bytes = 8U << 20U;
    bool may_switch_to_streaming = true;
    /// The delivery fails when this time has passed.
    std::optional<base::time_point> deadline;
    /// The delivery also fails at the end of this shutdown; null if there is none. Outlives the
    /// delivery.
    shutdown_admission const* shutdown = nullptr;
};

/// The position in a response that an earlier delivery reached.
struct delivery_position
{
    /// Number of tokens that the caller has received.
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
    /// Set if the delivery failed.
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

    /// Delivers the response to a new request.
    delivery_result run()
    {
        if (auto failed = start())
            recover_from(std::move(*failed));
        return process_events();
    }

    /// Delivers the rest of a response from a generation that the transport has adopted.
    delivery_result resume_from(delivery_position position)
    {
        m_delivered = position.delivered;
        m_next_index = position.delivered;
        m_digest = position.digest;
        m_result.attempts = 1;
        m_reached_engine = true;
        if (!m_sink.begin_response(m_delivered, m_digest))
            end_delivery(delivery_status::caller_disconnected);
        else
            recover_from({attempt_failure::connection_lost, {}, "continued by the caller"});
        return process_events();
    }

private:
    using event_type = attempt_event::type;

    delivery_result process_events()
    {
        while (!m_ended)
            handle_event(m_transport.read());
        m_result.delivered = m_delivered;
        return m_result;
    }

    bool deadline_passed() const
    {
        auto const deadline = m_settings.deadline.value_or(base::time_point::max());
        return m_clock.now() > (m_settings.shutdown != nullptr
                                    ? m_settings.shutdown->response_deadline(deadline)
                                    : deadline);
    }

    void handle_event(attempt_event event)
    {
        if (deadline_passed())
            return fail(base::error_kind::generation_lost, "the deadline has passed");
        if (event.kind == event_type::failure)
            return recover_from({event.failure, {}, std::move(event.reason)});
        if (event.kind == event_type::idle)
            return keep_alive();
        // The event belongs to an abandoned attempt or to another request.
        if (event.generation_id != m_transport.generation_id())
            return keep_alive();
        // A complete response ends with the finish reason. The end-of-stream marker alone doesn't
        // show that the response is complete.
        if (event.kind == event_type::end)
            return recover_from({attempt_failure::connection_lost, {}, "the stream ended early"});
        bool const last = event.token.is_last;
        accept_token(std::move(event.token));
        if (last && !m_ended && m_token_accepted)
            finish();
    }

    void keep_alive()
    {
        if (!m_sink.keep_alive())
            end_delivery(delivery_status::caller_disconnected);
    }

    void accept_token(generation_token token)
    {
        m_token_accepted = token.index == m_next_index;
        if (!m_token_accepted)
            return recover_from({attempt_failure::sequence_broken,
                                 {},
                                 "expected token " + std::to_string(m_next_index) + ", got " +
                                     std::to_string(token.index)});
        ++m_next_index;
        m_resumes_without_token = 0;
        if (token.index < m_delivered)
            return compare_replayed_token(token);
        if (m_settings.mode == delivery_mode::streamed)
            return deliver(token);
        m_buffered_bytes += token.payload.size() + token.extra_members.size() + sizeof(token);
        m_buffered_tokens.push_back(std::move(token));
        if (m_buffered_bytes > m_settings.maximum_buffered_bytes)
            return handle_full_buffer();
        keep_alive();
    }

    void handle_full_buffer()
    {
        if (!m_settings.may_switch_to_streaming)
            return fail(base::error_kind::server_failed,
                        "the response is too long to buffer; request a streamed response");
        m_settings.mode = delivery_mode::streamed;
        release_buffered_tokens();
    }

    /// Compares a token of a verified replay with the delivered text.
    void compare_replayed_token(generation_token const& token)
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
            end_delivery(delivery_status::caller_disconnected);
    }

    void release_buffered_tokens()
    {
        auto const buffered_tokens = std::exchange(m_buffered_tokens, {});
        m_buffered_bytes = 0;
        for (auto const& token : buffered_tokens)
            if (!m_ended)
                deliver(token);
    }

    void finish()
    {
        if (m_next_index < m_delivered)
            return fail(base::error_kind::generation_lost,
                        "the engine was lost and a new generation is shorter");
        release_buffered_tokens();
        if (!m_ended)
            end_delivery(m_sink.finish() ? delivery_status::complete
                                         : delivery_status::caller_disconnected);
    }

    std::optional<start_failure> start()
    {
        ++m_start_attempts;
        m_next_index = 0;
        m_replay_digest = 0;
        m_resumes_without_token = 0;
        m_buffered_tokens.clear();
        m_buffered_bytes = 0;
        if (auto failed = m_transport.start())
            return failed;
        ++m_result.attempts;
        m_reached_engine = true;
        if (m_delivered == 0 && !m_sink.begin_response(0, 0))
            end_delivery(delivery_status::caller_disconnected);
        return std::nullopt;
    }

    /// Follows the retry table until an attempt has started or the delivery has ended.
    void recover_from(start_failure failed)
    {
        while (!m_ended)
        {
            if (failed.refusal)
                return report_refusal(failed);
            auto next = perform_retry_action(failed);
            if (!next)
                return;
            failed = std::move(*next);
        }
    }

    /// Returns true if the engine may have run the request although its attempt failed like this.
    static constexpr bool may_have_run(attempt_failure failure) noexcept
    {
        return failure != attempt_failure::not_connected && failure != attempt_failure::declined &&
               failure != attempt_failure::rejected;
    }

    std::optional<start_failure> perform_retry_action(start_failure const& failed)
    {
        m_may_have_run = m_may_have_run || may_have_run(failed.failure);
        auto const progress = m_delivered > 0 ? delivery_progress::partly_delivered
                                              : delivery_progress::nothing_delivered;
        switch (retry_action_for(m_settings.kind, failed.failure, progress))
        {
        case retry_action::resume:
            if (m_resumes_without_token++ >= m_settings.maximum_resumes_without_token)
                return start_failure{attempt_failure::generation_gone, {}, failed.reason};
            ++m_result.resumes;
            return m_transport.resume(m_next_index);
        case retry_action::rerun:
        case retry_action::verified_replay:
            m_transport.abandon_attempt(failed.failure);
            return rerun(failed);
        case retry_action::report_rejected:
            fail(m_may_have_run ? base::error_kind::generation_lost : base::error_kind::bad_request,
                 failed.reason);
            break;
        case retry_action::report_not_run:
        case retry_action::report_unknown:
            m_transport.abandon_attempt(failed.failure);
            fail(loss_error_kind(), failed.reason);
            break;
        }
        return std::nullopt;
    }

    std::optional<start_failure> rerun(start_failure const& failed)
    {
        bool const reached_engine = failed.failure != attempt_failure::not_connected;
        if (m_result.attempts >= m_settings.maximum_attempts ||
            m_start_attempts >= m_settings.maximum_start_attempts || deadline_passed() ||
            (reached_engine && !m_transport.try_spend_retry()))
        {
            fail(loss_error_kind(), failed.reason);
            return std::nullopt;
        }
        return start();
    }

    /// A refusal of the router means "not run", which is true only if no earlier attempt reached an
    /// engine.
    void report_refusal(start_failure const& failed)
    {
        if (!m_reached_engine && !m_may_have_run && m_delivered == 0 &&
            base::error_response_for(failed.refusal->kind).execution ==
                base::execution_status::not_run)
            return fail(failed.refusal->kind, failed.refusal->message);
        if (failed.refusal->kind == base::error_kind::request_crashes_servers && m_delivered == 0)
            return fail(failed.refusal->kind, failed.refusal->message);
        fail(base::error_kind::generation_lost, failed.refusal->message);
    }

    base::error_kind loss_error_kind() const noexcept
    {
        return m_reached_engine || m_may_have_run ? base::error_kind::generation_lost
                                                  : base::error_kind::server_unreachable;
    }

    void fail(base::error_kind kind, std::string message)
    {
        m_result.error = {kind, std::move(message)};
        end_delivery(delivery_status::failed);
    }

    void end_delivery(delivery_status status)
    {
        m_ended = true;
        m_result.status = status;
    }

    delivery_settings m_settings;
    Clock const& m_clock;
    Transport& m_transport;
    Sink& m_sink;
    delivery_result m_result;
    bool m_ended = false;
    /// At least one attempt was sent to an engine.
    bool m_reached_engine = false;
    /// An engine may have run the request in an attempt that failed.
    bool m_may_have_run = false;
    /// Index of the next token of the current generation.
    std::int64_t m_next_index = 0;
    /// The latest token had the expected index.
    bool m_token_accepted = false;
    std::int64_t m_delivered = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_replay_digest = 0;
    int m_resumes_without_token = 0;
    int m_start_attempts = 0;
    std::vector<generation_token> m_buffered_tokens;
    std::size_t m_buffered_bytes = 0;
};

} // namespace jasminepier::decision
