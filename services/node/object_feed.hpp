/// The node's copies of the platform's objects and their effect on its tables.
#pragma once

#include "services/node/node_state.hpp"
#include "store/object.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminepier::node
{

/// Kinds that the node follows, in the order in which they are first read.
std::vector<std::string> const& followed_kinds();

/// Takes over a whole list of `kind`, read at the page's version. Objects that it no longer names
/// count as deleted.
void apply_list(node_state& state, std::string const& kind, store::object_page page);

/// Takes over changes of `kind`, from the store or from a peer. Changes that are known already have
/// no effect.
void apply_events(node_state& state, std::string const& kind, store::object_page const& page);

} // namespace jasminepier::node
