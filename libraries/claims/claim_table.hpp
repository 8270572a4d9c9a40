/// The open claims of this process.
#pragma once

#include "base/ordered_mutex.hpp"

#include <mutex>
#include <string>
#include <unordered_map>

namespace jasminepier::claims
{

/// State of a claim in the process that owns its nonce, as reported to peers.
enum class claim_progress
{
    /// The process does not know the nonce, for example after a restart.
    unknown,
    /// The call may have been sent.
    dispatched,
    /// The call was not sent, and the process will never send it with this nonce.
    abandoned,
    /// The outcome is known but not yet recorded.
    finished,
    /// The call has not been sent, but the process may still send it.
    preparing,
};

/// Progress of open claims by nonce. One lock covers dispatch and abandonment, so a claim that was
/// reported as abandoned is never dispatched. Thread-safe.
class claim_table
{
public:
    explicit claim_table(std::size_t limit) : m_limit(limit) {}

    /// Returns false if the table is full.
    bool open(std::string const& nonce)
    {
        std::lock_guard lock(m_mutex);
        if (m_open.size() >= m_limit)
            return false;
        m_open[nonce] = claim_progress::preparing;
        return true;
    }

    /// Returns false if the claim must not be dispatched, for example because it was abandoned.
    bool start_dispatch(std::string const& nonce)
    {
        std::lock_guard lock(m_mutex);
        auto const found = m_open.find(nonce);
        if (found == m_open.end() || found->second != claim_progress::preparing)
            return false;
        found->second = claim_progress::dispatched;
        return true;
    }

    /// Must only be called if nothing of the call was sent.
    void abandon(std::string const& nonce) { set(nonce, claim_progress::abandoned); }
    void finish(std::string const& nonce) { set(nonce, claim_progress::finished); }

    void remove(std::string const& nonce)
    {
        std::lock_guard lock(m_mutex);
        m_open.erase(nonce);
    }

    claim_progress progress(std::string const& nonce) const
    {
        std::lock_guard lock(m_mutex);
        auto const found = m_open.find(nonce);
        return found == m_open.end() ? claim_progress::unknown : found->second;
    }

    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_open.size();
    }

private:
    void set(std::string const& nonce, claim_progress progress)
    {
        std::lock_guard lock(m_mutex);
        m_open[nonce] = progress;
    }

    mutable base::ordered_mutex<base::lock_level::claim_table> m_mutex;
    std::size_t m_limit;
    std::unordered_map<std::string, claim_progress> m_open;
};

} // namespace jasminepier::claims
