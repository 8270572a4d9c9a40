/// When a node reads the platform itself instead of relying on its region's watchers.
#pragma once

#include "membership/revision_sync.hpp"

namespace jasminepier::membership
{

/// Wait for a first answer from a named peer before a starting node reads the platform.
inline constexpr base::milliseconds first_peer_response_timeout{1500};
/// Wait for a member list that agrees with the peers' lists. Before that, many nodes of a fleet
/// that starts at once would take themselves for watchers.
inline constexpr base::milliseconds member_list_agreement_timeout{8000};
/// Silence of all peers after which a node reads the platform, before it would count as isolated.
inline constexpr base::milliseconds peer_silence_timeout{4000};
/// Time without any configuration after which a node reads the platform whoever the watchers are.
inline constexpr base::milliseconds configuration_timeout{20000};

/// `watcher`: the node is among its region's watchers; `settled`: its member list equals a peer's.
bool should_read_platform(base::time_point now, connectivity_state const& connectivity,
                          bool is_watcher, bool member_lists_agree) noexcept;

} // namespace jasminepier::membership
