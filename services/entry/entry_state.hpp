/// Tables of the entry process, shared by its workers.
#pragma once

#include "configuration/snapshot.hpp"
#include "inner_protocol/conversion.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace jasminepier::entry
{

/// A server chosen for one attempt.
struct chosen_server
{
    std::string name;
    std::string host;
    std::uint16_t port = 0;
};

class entry_state
{
public:
    /// Takes over what the control process sent and builds the new snapshot.
    void apply(inner_protocol::control_update const& update);
    configuration::snapshot_ptr snapshot() const;
    std::int64_t load_sequence() const;
    bool ready() const;

    /// Chooses the eligible server with the fewest outstanding requests and counts the request on
    /// it. Fails with no_server.
    base::result<chosen_server> acquire(std::string const& service, std::string const& request_id,
                                        std::set<std::string> const& excluded);
    void release(std::string const& server);
    /// Returns what a server last reported; nothing when no report has arrived.
    std::optional<inner_protocol::load_digest> load(std::string const& server) const;

private:
    mutable std::mutex m_mutex;
    configuration::versioned_store m_store;
    configuration::snapshot_ptr m_snapshot = std::make_shared<configuration::snapshot>();
    std::map<std::string, inner_protocol::load_digest> m_loads;
    std::map<std::string, int> m_outstanding;
    std::int64_t m_load_sequence = 0;
    bool m_ready = false;
};

} // namespace jasminepier::entry
