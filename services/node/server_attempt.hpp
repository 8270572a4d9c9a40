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
    server_attempt(node_state& state, serving::chosen_server server, serving::run_number number)
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
            end(serving::server_verdict::no_evidence);
            m_state = std::exchange(other.m_state, nullptr);
            m_server = std::move(other.m_server);
            m_number = other.m_number;
            m_shared_load = other.m_shared_load;
        }
        return *this;
    }
    ~server_attempt() { end(serving::server_verdict::no_evidence); }

    serving::chosen_server const& server() const noexcept { return m_server; }

    void end(serving::server_verdict verdict)
    {
        if (m_state == nullptr)
            return;
        auto const now = base::steady_clock_source{}.now();
        bool const next_turn = m_state->with(
            [&](node_state::tables& tables)
            {
                tables.dispatcher.end_run(m_number, verdict, now);
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
    void note_first_event()
    {
        if (m_state != nullptr)
        {
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.note_first_event(m_number); });
            m_state->report_due().signal();
        }
    }
    base::milliseconds copy_turn()
    {
        return m_state == nullptr
                   ? base::milliseconds(0)
                   : m_state->with([&](node_state::tables& tables)
                                   { return tables.dispatcher.copy_turn(m_number); });
    }
    bool is_copy_turn()
    {
        return m_state == nullptr ||
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.is_copy_turn(m_number); });
    }
    void set_movable(bool movable)
    {
        if (m_state != nullptr)
            m_state->with([&](node_state::tables& tables)
                          { tables.dispatcher.set_movable(m_number, movable); });
    }
    bool leaving()
    {
        return m_state != nullptr &&
               m_state->with([&](node_state::tables& tables)
                             { return tables.dispatcher.is_leaving(m_server.id); });
    }

private:
    node_state* m_state;
    serving::chosen_server m_server;
    serving::run_number m_number;
    bool m_shared_load = false;
};

} // namespace jasminepier::node
