/// Decides when a node reads the configuration from the platform instead of relying on the watchers
/// of its region.
#pragma once

#include "membership/revision_sync.hpp"

namespace jasminepier::membership
{

/// Time without a response from any peer after which a starting node reads the platform.
inline constexpr base::milliseconds first_peer_response_timeout{1500};
/// Time after which a watcher reads the platform although its member list differs from its peers'.
/// Without this wait, many nodes of a fleet that starts at once would select themselves as
/// watchers.
inline constexpr base::milliseconds member_list_agreement_timeout{8000};
/// Time without a response from any peer after which a node reads the platform. Shorter than
/// isolation_timeout, so that the node reads before it would count as isolated.
inline constexpr base::milliseconds peer_silence_timeout{4000};
/// Time without any configuration after which a node reads the platform even if it is no watcher.
inline constexpr base::milliseconds configuration_timeout{20000};

/// `is_watcher`: the node is a watcher of its region; `member_lists_agree`: its member list equals
/// its peers'.
bool should_read_platform(base::time_point now, connectivity_state const& connectivity,
                          bool is_watcher, bool member_lists_agree) noexcept;

} // namespace jasminepier::membership
