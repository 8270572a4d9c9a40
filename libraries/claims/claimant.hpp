/// Runs non-idempotent calls at most once per idempotency key. Correctness rests on the platform's
/// conditional writes alone: a process dispatches a call only if the claim object holds its nonce.
#pragma once

#include "base/hash.hpp"
#include "claims/claim_recorder.hpp"

#include <variant>

namespace jasminepier::claims
{

/// The claim, or the result for the caller if the claim was not obtained.
using claim_acquisition = std::variant<owned_claim, execution_result>;

/// Thread-safe; all workers of a process share one instance. No lock is held during requests to the
/// platform, to peers or to services.
template <store::object_store Store, claim_peers Peers, claim_clock Clock>
class claimant
{
public:
    claimant(Store& store, Peers& peers, Clock& clock, claim_settings settings)
        : m_store(store), m_peers(peers), m_clock(clock), m_settings(std::move(settings)),
          m_table(m_settings.maximum_open_claims), m_recorder(store, clock, m_table, m_settings)
    {
    }

    /// Obtains the claim, or waits for the outcome of the attempt that owns it.
    claim_acquisition acquire_claim(claim_request const& request)
    {
        claim_attempt attempt{request, base::random_id()};
        if (!m_table.open(attempt.nonce))
            return execution_result{base::error{base::error_kind::overloaded,
                                                "too many non-idempotent calls are open"}};
        step next = write_at_version{0};
        for (;;)
        {
            if (auto const* result = std::get_if<claim_acquisition>(&next))
                return finish_acquisition(attempt, *result);
            if (auto const* stored = std::get_if<store::object>(&next))
                next = evaluate_stored_claim(attempt, *stored);
            else
                next = try_claim(attempt, std::get<write_at_version>(next).version);
        }
    }

    /// Dispatches the call of an owned claim and records the outcome, even if the response arrives
    /// after the caller's deadline.
    template <dispatcher Dispatcher>
    execution_result execute(owned_claim const& claim, Dispatcher&& dispatch)
    {
        if (m_clock.now() >= claim.request.deadline || !m_table.start_dispatch(claim.nonce))
        {
            m_table.abandon(claim.nonce);
            record_outcome(claim, make_record(claim, claim_state::not_run));
            return base::error{base::error_kind::deadline_exceeded,
                               "the deadline passed before the call was sent"};
        }
        dispatch_result result = dispatch();
        if (result.status == dispatch_status::not_sent)
            return finish_not_sent(claim, std::move(result.failure));
        m_table.finish(claim.nonce);
        if (result.status == dispatch_status::unknown)
        {
            record_outcome(claim, make_record(claim, claim_state::unknown));
            return base::error{base::error_kind::outcome_unknown,
                               "the call was sent, but no response was received: " +
                                   result.failure.message};
        }
        auto record = make_record(claim, claim_state::done);
        record.status = result.response.status;
        record.content_type = result.response.content_type;
        record.body = result.response.body;
        record_outcome(claim, std::move(record));
        return result.response;
    }

    /// Returns the progress of a claim of this process, for the queries of peers.
    claim_progress progress(std::string const& nonce) const { return m_table.progress(nonce); }

    /// Retries unconfirmed writes that are due. One thread must call this periodically.
    void retry_pending_writes() { m_recorder.retry_due(); }

    std::size_t open_claims() const { return m_table.size(); }
    std::size_t pending_writes() const { return m_recorder.pending_count(); }

private:
    struct claim_attempt
    {
        claim_request request;
        std::string nonce;
        int writes = 0;
        /// The version that the last claim write without a response was to replace.
        std::optional<std::int64_t> unconfirmed_write_version{};
    };
    struct write_at_version
    {
        std::int64_t version;
    };
    /// The next step: return a result, evaluate a stored object, or write the claim at a version.
    using step = std::variant<claim_acquisition, store::object, write_at_version>;

    static step end_with_error(base::error_kind kind, std::string message)
    {
        return claim_acquisition{execution_result{base::error{kind, std::move(message)}}};
    }

    claim_record make_record(claim_attempt const& attempt, claim_state state)
    {
        claim_record record;
        record.state = state;
        record.nonce = attempt.nonce;
        record.node = m_settings.node;
        record.request_hash = attempt.request.request_hash;
        record.time = m_clock.unix_seconds();
        return record;
    }
    claim_record make_record(owned_claim const& claim, claim_state state)
    {
        return make_record(claim_attempt{claim.request, claim.nonce}, state);
    }

    void record_outcome(owned_claim const& claim, claim_record record)
    {
        m_recorder.submit({claim.request.name, std::move(record), claim.version, {}, 0, {}});
    }

    execution_result finish_not_sent(owned_claim const& claim, base::error failure)
    {
        m_table.abandon(claim.nonce);
        record_outcome(claim, make_record(claim, claim_state::not_run));
        if (base::error_response_for(failure.kind).execution != base::execution_status::not_run)
            failure.kind = base::error_kind::server_unreachable;
        return failure;
    }

    /// If the attempt ends without the claim, makes sure that its nonce is never dispatched. If a
    /// claim write may still take effect, schedules a background write that overrides it.
    claim_acquisition finish_acquisition(claim_attempt const& attempt, claim_acquisition result)
    {
        if (std::holds_alternative<owned_claim>(result))
            return result;
        if (!attempt.unconfirmed_write_version)
        {
            m_table.remove(attempt.nonce);
            return result;
        }
        m_table.abandon(attempt.nonce);
        m_recorder.schedule_retry({attempt.request.name,
                                   make_record(attempt, claim_state::not_run),
                                   {},
                                   attempt.unconfirmed_write_version,
                                   0,
                                   {}});
        return result;
    }

    step try_claim(claim_attempt& attempt, std::int64_t version)
    {
        if (m_clock.now() >= attempt.request.deadline)
            return end_with_error(base::error_kind::deadline_exceeded,
                                  "the claim was not obtained in time");
        if (++attempt.writes > m_settings.maximum_claim_writes)
            return end_with_error(base::error_kind::platform_unavailable,
                                  "the claim was not obtained");
        auto const value = write_claim(make_record(attempt, claim_state::claimed));
        auto const outcome =
            version == 0
                ? m_store.create(claim_kind, attempt.request.name, value)
                : m_store.update({claim_kind, attempt.request.name, version, value, false});
        switch (outcome.status)
        {
        case store::write_status::applied:
            return claim_acquisition{
                owned_claim{attempt.request, attempt.nonce, outcome.current.version}};
        case store::write_status::conflict:
            return outcome.current;
        case store::write_status::refused:
            return end_with_error(base::error_kind::platform_unavailable,
                                  "the platform refused the claim");
        case store::write_status::unknown:
            break;
        }
        attempt.unconfirmed_write_version = version;
        if (auto stored = read_stored_claim(attempt.request.name))
            return *stored;
        return end_with_error(base::error_kind::platform_unavailable,
                              "the platform did not respond to the claim");
    }

    /// Returns nothing if the platform does not respond. An absent object is returned as deleted.
    std::optional<store::object> read_stored_claim(std::string const& name)
    {
        return base::handle(
            [&]() -> base::result<std::optional<store::object>>
            {
                BOOST_LEAF_AUTO(stored, m_store.get(claim_kind, name));
                return std::optional(stored);
            },
            [&](base::error const& failure) -> std::optional<store::object>
            {
                if (failure.kind == base::error_kind::not_found)
                    return store::object{claim_kind, name, 0, "", true};
                return std::nullopt;
            });
    }

    step evaluate_stored_claim(claim_attempt const& attempt, store::object const& stored)
    {
        if (stored.deleted)
            return write_at_version{0};
        auto const record = base::handle(
            [&]() -> base::result<std::optional<claim_record>>
            {
                BOOST_LEAF_AUTO(parsed, parse_claim(stored.value));
                return std::optional(parsed);
            },
            [](base::error const&) { return std::optional<claim_record>(); });
        if (!record)
            return end_with_error(base::error_kind::outcome_unknown,
                                  "the claim object is malformed");
        // Ownership depends on the nonce alone, even if another attempt marked the claim as
        // unknown.
        if (record->nonce == attempt.nonce)
            return claim_acquisition{owned_claim{attempt.request, attempt.nonce, stored.version}};
        if (record->request_hash != attempt.request.request_hash)
            return end_with_error(base::error_kind::idempotency_key_reused,
                                  "the idempotency key was used with another request");
        switch (record->state)
        {
        case claim_state::done:
            return claim_acquisition{execution_result{service_response{
                record->status, record->content_type, record->body, record->body_omitted, true}}};
        case claim_state::unknown:
            return end_with_error(base::error_kind::outcome_unknown,
                                  record->response_is_invalid ? "the recorded response is invalid"
                                                              : "whether the call ran is unknown");
        case claim_state::not_run:
            return write_at_version{stored.version};
        case claim_state::claimed:
            break;
        }
        return wait_for_owner(attempt, stored, *record);
    }

    step wait_for_owner(claim_attempt const& attempt, store::object const& stored,
                        claim_record const& record)
    {
        auto const peer_deadline = m_clock.now() + m_settings.peer_timeout;
        auto poll_interval = m_settings.initial_poll_interval;
        for (;;)
        {
            auto const progress = query_owner(attempt.request.name, record);
            if (progress == claim_progress::abandoned)
                return write_at_version{stored.version};
            bool const owner_has_no_record = progress == claim_progress::unknown;
            if (!progress || owner_has_no_record || progress == claim_progress::finished)
                if (auto latest = read_stored_claim(attempt.request.name);
                    latest && latest->version != stored.version)
                    return *latest;
            if (owner_has_no_record || (!progress && m_clock.now() >= peer_deadline))
                return mark_outcome_unknown(stored, record);
            auto const remaining = attempt.request.deadline - m_clock.now();
            if (remaining <= remaining.zero())
                return end_with_error(base::error_kind::in_progress, "the call is still running");
            m_clock.sleep_for(
                std::min(poll_interval, std::chrono::duration_cast<base::milliseconds>(remaining) +
                                            base::milliseconds(1)));
            poll_interval = std::min(poll_interval * 2, m_settings.maximum_poll_interval);
        }
    }

    std::optional<claim_progress> query_owner(std::string const& name, claim_record const& record)
    {
        auto const local = m_table.progress(record.nonce);
        if (local != claim_progress::unknown || record.node == m_settings.node)
            return local;
        return base::handle(
            [&]() -> base::result<std::optional<claim_progress>>
            {
                BOOST_LEAF_AUTO(progress, m_peers.query_progress(record.node, name, record.nonce));
                return std::optional(progress);
            },
            [](base::error const&) { return std::optional<claim_progress>(); });
    }

    /// Marks the claim of an owner that is presumed dead. An owner that is alive may still replace
    /// the state by `done`.
    step mark_outcome_unknown(store::object const& stored, claim_record record)
    {
        record.state = claim_state::unknown;
        record.time = m_clock.unix_seconds();
        auto const outcome =
            m_store.update({claim_kind, stored.name, stored.version, write_claim(record), false});
        if (outcome.status == store::write_status::conflict)
            return outcome.current;
        return end_with_error(base::error_kind::outcome_unknown,
                              "the node that ran the call is dead or was restarted");
    }

    Store& m_store;
    Peers& m_peers;
    Clock& m_clock;
    claim_settings m_settings;
    claim_table m_table;
    claim_recorder<Store, Clock> m_recorder;
};

} // namespace jasminepier::claims
