/// Lost answers and the crashes of servers that explain them.
#pragma once

#include "services/node/node_state.hpp"
#include "serving/lost_answer_table.hpp"

namespace jasminepier::node
{

/// Records a lost answer. It counts as a crash of the server, for which the request or parts of its
/// prompt may be the cause, if the server refuses a new connection, and otherwise once there is
/// other evidence. Servers that are leaving close their connections, which is no crash. Asks the
/// server up to `probes` times, for 200 ms at most each. Returns true if the server has crashed.
bool record_lost_answer(node_state& state, serving::lost_answer answer, int probes);

/// Looks for evidence that servers have crashed which lost answers a moment ago. Called every
/// second.
void confirm_server_crashes(node_state& state);

} // namespace jasminepier::node
