/// One request's use of one server.
#pragma once

#include "services/node/node_state.hpp"

namespace jasminepier::node
{

/// Counts a request towards its server's load from the selection of the server until `end`. The
/// destructor ends the attempt as inconclusive.
class server_attempt
{
public:
    server_attempt(node_state& state, serving::selected_server server, serving::attempt_id id)
        : m_state(&state), m_server(std::move(server)), m_id(id)
    {
    }
    /// Reports the start and the end of the attempt to the peers immediately. Used for engines: all
    /// nodes share their few batch slots and learn the free ones from reports. Requests to plain
    /// services end before a report would help.
    void share_load()
    {
        m_shared_load = true;
        m_state->report_due().signal();
    }
    server_attempt(server_attempt&& other) noexcept
        : m_state(std::exchange(other.m_state, nullptr)), m_server(std::move(other.m_server)),
          m_id(other.m_id), m_shared_load(other.m_shared_load)
    {
    }
    server_attempt& operator=(server_attempt&& other) noexcept
    {
        if (this != &other)
        {
            end(serving::attempt_outcome::inconclusive);
            m_state = std::exchange(other.m_state, nullptr);
            m_server = std::move(other.m_server);
            m_id = other.m_id;
            m_shared_load = other.m_shared_load;
        }
        return *this;
    }
    ~server_attempt() { end(serving::attempt_outcome::inconclusive); }

    serving::selected_server const& server() const noexcept { return m_server; }

    void end(serving::attempt_outcome outcome)
    {
        if (m_state == nullptr)
            return;
        auto const now = base::steady_clock_source{}.now();
        bool const server_leaving = m_state->with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.end_attempt(m_id, outcome, now);
                notify_waiting_requests(tables);
                bool const leaves = tables.dispatcher.is_leaving(m_server.id);
                if (leaves)
                    tables.dispatcher.notify_leaving();
                return leaves;
            });
        // Other nodes wait for this report before they copy their generations from the server.
        if (server_leaving || m_shared_load)
            m_state->report_due().signal();
        m_state = nullptr;
    }
    void record_first_event()
    {
        if (m_state != nullptr)
        {
            auto const now = base::steady_clock_source{}.now();
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.record_first_event(m_id, now); });
            m_state->report_due().signal();
        }
    }
    base::milliseconds copy_start_delay()
    {
        return m_state == nullptr
                   ? base::milliseconds(0)
                   : m_state->with([&](node_state::tables& tables)
                                   { return tables.dispatcher.copy_start_delay(m_id); });
    }
    bool may_start_copy()
    {
        return m_state == nullptr ||
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.may_start_copy(m_id); });
    }
    void set_can_hand_over(bool can_hand_over)
    {
        if (m_state != nullptr)
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.set_can_hand_over(m_id, can_hand_over); });
    }
    /// Lets the generations behind this one be copied, here and at the peers.
    void yield_copy_turn()
    {
        if (m_state == nullptr)
            return;
        m_state->with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.set_can_hand_over(m_id, false);
                tables.dispatcher.notify_leaving();
            });
        m_state->report_due().signal();
    }
    /// Returns true if the server is draining or was removed.
    bool is_server_leaving()
    {
        return m_state != nullptr &&
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.is_leaving(m_server.id); });
    }

private:
    node_state* m_state;
    serving::selected_server m_server;
    serving::attempt_id m_id;
    bool m_shared_load = false;
};

} // namespace jasminepier::node
