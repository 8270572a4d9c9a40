/// Applies objects of the platform's store to the tables of a node.
#pragma once

#include "services/node/node_state.hpp"
#include "store/object.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// Kinds of objects that a node keeps copies of, in the order in which it reads them.
std::vector<std::string> const& watched_kinds();

/// Applies a complete list of `kind`, read at the page's version. Stored objects that are missing
/// in the list count as deleted.
void apply_list(node_state& state, std::string const& kind, store::object_page page);

/// Applies changes to objects of `kind`, read from the store or received from a peer. Idempotent:
/// changes that have already been applied have no effect.
void apply_changes(node_state& state, std::string const& kind, store::object_page const& page);

/// Removes evacuations that a restored store lacks and that nobody has written again in time.
void remove_lost_evacuations(node_state& state);

} // namespace jasminepier::node
