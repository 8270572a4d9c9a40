/// Runs orders at most once. Correctness depends on the platform's conditional updates alone: the
/// only process that dispatches an order is the one whose nonce it found in the claim object.
#pragma once

#include "base/hash.hpp"
#include "claims/claim_recorder.hpp"

#include <variant>

namespace jasminepier::claims
{

/// Either the claim is held, or the caller's answer is known.
using prepared_claim = std::variant<held_claim, claim_answer>;

/// Shared by all workers of a process. No lock is held during calls to the platform, to peers or to
/// services.
template <store::object_store Store, claim_peers Peers, waiting_clock Clock>
class claimant
{
public:
    claimant(Store& store, Peers& peers, Clock& clock, claim_settings settings)
        : m_store(store), m_peers(peers), m_clock(clock), m_settings(std::move(settings)),
          m_table(m_settings.maximum_open), m_recorder(store, clock, m_table, m_settings)
    {
    }

    /// Obtains the claim, or waits for the outcome of the attempt that has it.
    prepared_claim prepare(claim_request const& request)
    {
        attempt own{request, base::random_id()};
        if (!m_table.open(own.nonce))
            return claim_answer{
                base::error{base::error_kind::overloaded, "too many orders are open"}};
        step next = write_at{0};
        for (;;)
        {
            if (auto const* result = std::get_if<prepared_claim>(&next))
                return close(own, *result);
            if (auto const* seen = std::get_if<store::object>(&next))
                next = decide(own, *seen);
            else
                next = write(own, std::get<write_at>(next).version);
        }
    }

    /// Dispatches the call of a held claim and records the outcome. May outlast the deadline of the
    /// caller; the outcome is recorded all the same.
    template <dispatcher Dispatcher>
    claim_answer run(held_claim const& held, Dispatcher&& dispatch)
    {
        if (m_clock.now() >= held.request.deadline || !m_table.start_dispatch(held.nonce))
        {
            m_table.abandon(held.nonce);
            settle(held, record_of(held, claim_state::not_run));
            return base::error{base::error_kind::deadline_exceeded,
                               "the deadline passed before the order was sent"};
        }
        dispatch_result result = dispatch();
        if (result.status == dispatch_status::not_sent)
            return finish_not_sent(held, std::move(result.failure));
        m_table.finish(held.nonce);
        if (result.status == dispatch_status::unknown)
        {
            settle(held, record_of(held, claim_state::unknown));
            return base::error{base::error_kind::outcome_unknown,
                               "the order was sent and not answered: " + result.failure.message};
        }
        auto record = record_of(held, claim_state::done);
        record.status = result.answer.status;
        record.content_type = result.answer.content_type;
        record.body = result.answer.body;
        settle(held, std::move(record));
        return result.answer;
    }

    /// Answers a peer's question about a nonce of this process.
    claim_progress progress(std::string const& nonce) const { return m_table.progress(nonce); }

    /// Repeats writes whose effect is not certain yet. Called again and again by one thread.
    void retry_background() { m_recorder.retry_due(); }

    std::size_t open_claims() const { return m_table.size(); }
    std::size_t pending_writes() const { return m_recorder.pending(); }

private:
    struct attempt
    {
        claim_request request;
        std::string nonce;
        int writes = 0;
        /// The version that the last claim write without an answer named.
        std::optional<std::int64_t> lost_write_version{};
    };
    struct write_at
    {
        std::int64_t version;
    };
    /// What to do next: end, look at an object, or write the claim at a version.
    using step = std::variant<prepared_claim, store::object, write_at>;

    static step stop(base::error_kind kind, std::string message)
    {
        return prepared_claim{claim_answer{base::error{kind, std::move(message)}}};
    }

    claim_record record_of(attempt const& own, claim_state state)
    {
        claim_record record;
        record.state = state;
        record.nonce = own.nonce;
        record.node = m_settings.node;
        record.request_hash = own.request.request_hash;
        record.time = m_clock.unix_seconds();
        return record;
    }
    claim_record record_of(held_claim const& held, claim_state state)
    {
        return record_of(attempt{held.request, held.nonce}, state);
    }

    void settle(held_claim const& held, claim_record record)
    {
        m_recorder.settle({held.request.name, std::move(record), held.version, {}, 0, {}});
    }

    claim_answer finish_not_sent(held_claim const& held, base::error failure)
    {
        m_table.abandon(held.nonce);
        settle(held, record_of(held, claim_state::not_run));
        if (base::error_response_for(failure.kind).execution != base::execution_status::not_run)
            failure.kind = base::error_kind::server_unreachable;
        return failure;
    }

    /// Before an attempt ends without the claim, its nonce is given up for good, and a claim write
    /// that may still take effect is left to the background.
    prepared_claim close(attempt const& own, prepared_claim result)
    {
        if (std::holds_alternative<held_claim>(result))
            return result;
        if (!own.lost_write_version)
        {
            m_table.forget(own.nonce);
            return result;
        }
        m_table.abandon(own.nonce);
        m_recorder.postpone({own.request.name,
                             record_of(own, claim_state::not_run),
                             {},
                             own.lost_write_version,
                             0,
                             {}});
        return result;
    }

    step write(attempt& own, std::int64_t version)
    {
        if (m_clock.now() >= own.request.deadline)
            return stop(base::error_kind::deadline_exceeded, "the claim was not obtained in time");
        if (++own.writes > m_settings.maximum_claim_writes)
            return stop(base::error_kind::platform_unavailable, "the claim was not obtained");
        auto const value = write_claim(record_of(own, claim_state::claimed));
        auto const wrote =
            version == 0 ? m_store.create(claim_kind, own.request.name, value)
                         : m_store.update({claim_kind, own.request.name, version, value, false});
        switch (wrote.status)
        {
        case store::write_status::applied:
            return prepared_claim{held_claim{own.request, own.nonce, wrote.current.version}};
        case store::write_status::conflict:
            return wrote.current;
        case store::write_status::refused:
            return stop(base::error_kind::platform_unavailable, "the platform refused the claim");
        case store::write_status::unknown:
            break;
        }
        own.lost_write_version = version;
        if (auto seen = read(own.request.name))
            return *seen;
        return stop(base::error_kind::platform_unavailable, "the platform does not answer");
    }

    /// Returns nothing when the platform does not answer; an absent object is one marked deleted.
    std::optional<store::object> read(std::string const& name)
    {
        return base::handle(
            [&]() -> base::result<std::optional<store::object>>
            {
                BOOST_LEAF_AUTO(seen, m_store.get(claim_kind, name));
                return std::optional(seen);
            },
            [&](base::error const& failure) -> std::optional<store::object>
            {
                if (failure.kind == base::error_kind::not_found)
                    return store::object{claim_kind, name, 0, "", true};
                return std::nullopt;
            });
    }

    step decide(attempt const& own, store::object const& seen)
    {
        if (seen.deleted)
            return write_at{0};
        auto const record = base::handle(
            [&]() -> base::result<std::optional<claim_record>>
            {
                BOOST_LEAF_AUTO(parsed, parse_claim(seen.value));
                return std::optional(parsed);
            },
            [](base::error const&) { return std::optional<claim_record>(); });
        if (!record)
            return stop(base::error_kind::outcome_unknown, "the claim object is malformed");
        // Another attempt may have marked the claim as unknown meanwhile; the nonce still decides.
        if (record->nonce == own.nonce)
            return prepared_claim{held_claim{own.request, own.nonce, seen.version}};
        if (record->request_hash != own.request.request_hash)
            return stop(base::error_kind::idempotency_key_reused,
                        "the key was used with another request");
        switch (record->state)
        {
        case claim_state::done:
            return prepared_claim{claim_answer{service_answer{
                record->status, record->content_type, record->body, record->body_omitted, true}}};
        case claim_state::unknown:
            return stop(base::error_kind::outcome_unknown, "whether the order ran is not known");
        case claim_state::not_run:
            return write_at{seen.version};
        case claim_state::claimed:
            break;
        }
        return await_owner(own, seen, *record);
    }

    step await_owner(attempt const& own, store::object const& seen, claim_record const& record)
    {
        auto const patience_end = m_clock.now() + m_settings.peer_patience;
        auto wait = m_settings.first_wait;
        for (;;)
        {
            auto const progress = ask_owner(own.request.name, record);
            if (progress == claim_progress::abandoned)
                return write_at{seen.version};
            bool const owner_forgot = progress == claim_progress::unknown;
            if (!progress || owner_forgot || progress == claim_progress::finished)
                if (auto now_seen = read(own.request.name);
                    now_seen && now_seen->version != seen.version)
                    return *now_seen;
            if (owner_forgot || (!progress && m_clock.now() >= patience_end))
                return declare_unknown(seen, record);
            auto const left = own.request.deadline - m_clock.now();
            if (left <= left.zero())
                return stop(base::error_kind::in_progress, "the order is still running");
            m_clock.sleep_for(std::min(wait, std::chrono::duration_cast<base::milliseconds>(left) +
                                                 base::milliseconds(1)));
            wait = std::min(wait * 2, m_settings.longest_wait);
        }
    }

    std::optional<claim_progress> ask_owner(std::string const& name, claim_record const& record)
    {
        auto const own = m_table.progress(record.nonce);
        if (own != claim_progress::unknown || record.node == m_settings.node)
            return own;
        return base::handle(
            [&]() -> base::result<std::optional<claim_progress>>
            {
                BOOST_LEAF_AUTO(told, m_peers.ask(record.node, name, record.nonce));
                return std::optional(told);
            },
            [](base::error const&) { return std::optional<claim_progress>(); });
    }

    /// Records that the owner is gone. The owner, if it lives, may still replace this by `done`.
    step declare_unknown(store::object const& seen, claim_record record)
    {
        record.state = claim_state::unknown;
        record.time = m_clock.unix_seconds();
        auto const wrote =
            m_store.update({claim_kind, seen.name, seen.version, write_claim(record), false});
        if (wrote.status == store::write_status::conflict)
            return wrote.current;
        return stop(base::error_kind::outcome_unknown, "the node that ran the order is gone");
    }

    Store& m_store;
    Peers& m_peers;
    Clock& m_clock;
    claim_settings m_settings;
    claim_table m_table;
    claim_recorder<Store, Clock> m_recorder;
};

} // namespace jasminepier::claims
