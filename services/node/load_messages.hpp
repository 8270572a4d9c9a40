/// Loads of servers as messages between nodes.
#pragma once

#include "inner_protocol/generated/jasminepier_types.h"
#include "serving/server_load.hpp"

#include <vector>

namespace jasminepier::node
{

/// `server_revision` is that of the message's report, from which the revisions of departures are
/// counted back: many servers may leave at once, and loads that do not fit are left out.
inner_protocol::server_use to_message(serving::server_load const& load,
                                      std::int64_t server_revision);

/// Converts as many loads as a report holds; loads of servers with running requests go first.
std::vector<inner_protocol::server_use> to_messages(std::vector<serving::server_load> loads,
                                                    std::int64_t server_revision);

serving::server_load from_message(inner_protocol::server_use const& use,
                                  std::int64_t server_revision);

} // namespace jasminepier::node
