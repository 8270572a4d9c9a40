/// One request's use of one server.
#pragma once

#include "services/node/node_state.hpp"

namespace jasminepier::node
{

/// Counts a request at its server from the decision to the end. Ends without evidence when it is
/// destroyed.
class server_attempt
{
public:
    server_attempt(node_state& state, serving::selected_server server, serving::attempt_id number)
        : m_state(&state), m_server(std::move(server)), m_number(number)
    {
    }
    /// Tells peers of the run's begin and end at once. For engines, whose few places all nodes
    /// fill by each other's reports; calls of plain services end before a report would help.
    void share_load()
    {
        m_shared_load = true;
        m_state->report_due().signal();
    }
    server_attempt(server_attempt&& other) noexcept
        : m_state(std::exchange(other.m_state, nullptr)), m_server(std::move(other.m_server)),
          m_number(other.m_number), m_shared_load(other.m_shared_load)
    {
    }
    server_attempt& operator=(server_attempt&& other) noexcept
    {
        if (this != &other)
        {
            end(serving::attempt_outcome::inconclusive);
            m_state = std::exchange(other.m_state, nullptr);
            m_server = std::move(other.m_server);
            m_number = other.m_number;
            m_shared_load = other.m_shared_load;
        }
        return *this;
    }
    ~server_attempt() { end(serving::attempt_outcome::inconclusive); }

    serving::selected_server const& server() const noexcept { return m_server; }

    void end(serving::attempt_outcome verdict)
    {
        if (m_state == nullptr)
            return;
        auto const now = base::steady_clock_source{}.now();
        bool const next_turn = m_state->with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.end_attempt(m_number, verdict, now);
                notify_waiting_requests(tables);
                bool const leaves = tables.dispatcher.is_leaving(m_server.id);
                if (leaves)
                    tables.dispatcher.notify_leaving();
                return leaves;
            });
        // Runs of other nodes wait for their turn to leave the server.
        if (next_turn || m_shared_load)
            m_state->report_due().signal();
        m_state = nullptr;
    }
    void record_first_event()
    {
        if (m_state != nullptr)
        {
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.record_first_event(m_number); });
            m_state->report_due().signal();
        }
    }
    base::milliseconds copy_start_delay()
    {
        return m_state == nullptr
                   ? base::milliseconds(0)
                   : m_state->with([&](node_state::tables& tables)
                                   { return tables.dispatcher.copy_start_delay(m_number); });
    }
    bool may_start_copy()
    {
        return m_state == nullptr ||
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.may_start_copy(m_number); });
    }
    void set_can_hand_over(bool can_hand_over)
    {
        if (m_state != nullptr)
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.set_can_hand_over(m_number, can_hand_over); });
    }
    bool leaving()
    {
        return m_state != nullptr &&
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.is_leaving(m_server.id); });
    }

private:
    node_state* m_state;
    serving::selected_server m_server;
    serving::attempt_id m_number;
    bool m_shared_load = false;
};

} // namespace jasminepier::node
