/// Requests to engines on behalf of one completion.
#pragma once

#include "backend/event_stream.hpp"
#include "backend/http_exchange.hpp"
#include "decision/generation_delivery.hpp"
#include "services/entry/entry_metrics.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/serving_state.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace jasminepier::entry
{

/// Inputs of a completion that are the same for all its attempts.
struct completion_job
{
    /// Requirements on the server. `maximum_wait` also limits the wait for a server to recover or
    /// to become available for a suspected poison request.
    acquire_request requirements;
    std::string engine_body;
    std::uint64_t fingerprint = 0;
    /// Fingerprints of the messages that other requests may share.
    std::vector<std::uint64_t> prompt_parts;
    std::optional<base::time_point> deadline;
    /// Polled while waiting for a server. Returns false if the caller has disconnected.
    std::function<bool()> caller_is_connected;
};

/// Transport of `decision::generation_delivery`. Every attempt has its own connection and
/// generation id.
class completion_transport
{
public:
    completion_transport(entry_state& state, serving_state& serving, completion_job job)
        : m_state(state), m_serving(serving), m_job(std::move(job))
    {
    }
    completion_transport(completion_transport const&) = delete;
    completion_transport& operator=(completion_transport const&) = delete;
    ~completion_transport() { finish_attempt(m_final_outcome); }

    std::optional<decision::start_failure> start();
    std::optional<decision::start_failure> resume(std::int64_t index);
    decision::attempt_event read();
    void abandon_attempt(decision::attempt_failure failure);
    bool try_spend_retry()
    {
        bool const allowed = m_serving.budgets().try_spend(m_job.requirements.service);
        if (allowed)
            observe_retry();
        return allowed;
    }

    std::string const& generation_id() const noexcept { return m_generation_id; }
    std::string const& server() const noexcept { return m_server.name; }

    /// Continues with a generation that another delivery started.
    void adopt(selected_server server, std::string generation_id);
    /// Records that the caller has the complete response. Otherwise the last attempt counts as
    /// cancelled.
    void record_completion();
    /// Returns true if the process was paused so long that the caller may have resumed elsewhere.
    bool was_paused() const;
    /// Tells the engine to cancel the generation. Does not wait for the response.
    void cancel();

private:
    enum class exchange_purpose
    {
        start,
        resume,
    };

    std::optional<base::error> select_server(bool suspected);
    std::optional<base::error> acquire(std::set<std::string> const& excluded);
    std::optional<decision::start_failure> send(backend::backend_request const& request,
                                                exchange_purpose purpose);
    decision::attempt_event receive_response_head();
    decision::attempt_event read_event();
    decision::attempt_event parse_event(std::string const& data);
    decision::attempt_event check_silence() const;
    decision::attempt_event make_failure(decision::attempt_failure failure,
                                         std::string reason) const;
    void record_crash();
    /// Records that the engine generates the response.
    void record_answered();
    /// Returns an error if a message of the prompt crashes servers and this request is no trial of
    /// it.
    std::optional<base::error> check_prompt_parts();
    /// Returns true if this request becomes a trial of its messages.
    bool try_begin_trial(decision::part_judgement const& judgement, base::time_point now);
    bool port_is_closed() const;
    void finish_attempt(attempt_outcome outcome);

    entry_state& m_state;
    serving_state& m_serving;
    completion_job m_job;
    selected_server m_server;
    /// Instance of the server when the attempt started; empty if unknown.
    std::string m_instance;
    std::string m_generation_id;
    std::set<std::string> m_failed_servers;
    bool m_acquired = false;
    attempt_outcome m_final_outcome = attempt_outcome::cancelled;
    /// True while the poison request detector reserves the server for this suspected request.
    bool m_server_reserved = false;
    exchange_purpose m_purpose = exchange_purpose::start;
    std::unique_ptr<backend::http_exchange> m_exchange;
    /// Set once the response status has been received.
    std::unique_ptr<backend::event_stream_reader> m_reader;
    std::chrono::steady_clock::time_point m_last_event;
    /// Resumes since the last event.
    int m_resumes = 0;
    bool m_connection_was_lost = false;
    bool m_server_died = false;
    /// The engine has generated a token in this attempt.
    bool m_answered = false;
    /// Last crash of an engine before it answered this request.
    std::optional<base::time_point> m_last_unanswered_crash;
    /// This request may run although it has messages up to this verdict, once.
    decision::part_verdict m_trial_verdict = decision::part_verdict::clean;
    std::chrono::steady_clock::time_point m_last_read = std::chrono::steady_clock::now();
    bool m_was_paused = false;
};

} // namespace jasminepier::entry
