/// Connection of the entry process to the control process of its VM.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "inner_protocol/rpc.hpp"
#include "services/entry/entry_state.hpp"
#include "services/entry/serving_state.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::entry
{

/// After this time without its control process, the entry process admits no new requests, since it
/// would not learn of zones that were taken out of service.
inline constexpr base::milliseconds control_timeout{10000};

/// Exchanges reports and updates with the control process. `exchange` is called by one thread; all
/// other functions may be called by any.
class control_link
{
public:
    control_link(entry_state& state, serving_state& serving, std::string host,
                 std::uint16_t control_port);

    /// Sends a report and applies the update received in response. Logs failures.
    void exchange();

    /// Fails with node_isolated if new requests must not be admitted: the control process has not
    /// responded for `control_timeout`, or reports that this node is isolated.
    base::result<void> check_admission() const;

    /// Returns the control process's member records, this node's first; empty before the first
    /// update.
    std::vector<inner_protocol::member_record> members() const;

private:
    inner_protocol::entry_report make_report() const;
    void apply(inner_protocol::control_update const& update);

    entry_state& m_state;
    serving_state& m_serving;
    inner_protocol::rpc_client<inner_protocol::control_nodeClient> m_control;
    mutable base::ordered_mutex<base::lock_level::control_link> m_mutex;
    std::vector<inner_protocol::member_record> m_members;
    std::optional<base::time_point> m_last_update;
    std::int64_t m_known_revision = 0;
    std::int64_t m_known_load_sequence = 0;
    bool m_isolated = false;
};

} // namespace jasminepier::entry
