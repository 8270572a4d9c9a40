/// Keeps the store's record of the versions that may have begun streams.
#pragma once

#include "platform/store_dialect.hpp"
#include "services/node/node_state.hpp"

#include <map>
#include <set>
#include <string>

namespace jasminepier::node
{

/// A node that starts can't tell from the list of servers which versions have just left. It reads
/// the record once; the nodes that follow the store write it when the set of versions changes. A
/// version stays recorded until every stream that it may have begun has ended.
class version_recorder
{
public:
    explicit version_recorder(node_state& state);
    /// Called every second.
    void run_maintenance();

private:
    struct pending_write
    {
        std::set<std::string> versions;
        base::time_point since{};
    };

    /// Reads the record at the start, and again after the store was restored from a copy, which
    /// may lack the latest writes. Returns false if the store didn't answer.
    bool read_record();
    bool needs_read();
    void apply_object(store::object const& object);
    void write_if_due(std::string const& service, std::set<std::string> const& versions);
    bool is_turn(std::string const& service, base::time_point pending_since, base::time_point now);

    node_state& m_state;
    platform::object_store m_store;
    bool m_was_read = false;
    /// The store's epoch when the record was read.
    std::int64_t m_epoch = 0;
    /// The latest objects, by service.
    std::map<std::string, store::object> m_objects;
    std::map<std::string, pending_write> m_pending;
};

} // namespace jasminepier::node
