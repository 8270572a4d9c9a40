#include "membership/platform_reading.hpp"

namespace jasminepier::membership
{

bool should_read_platform(base::time_point now, connectivity_state const& connectivity,
                          bool is_watcher, bool member_lists_agree) noexcept
{
    if (!connectivity.has_peer_addresses)
        return true;
    auto const age = now - connectivity.started;
    if (!connectivity.last_peer_contact)
        return age >= first_peer_response_timeout;
    if (now - *connectivity.last_peer_contact >= peer_silence_timeout)
        return true;
    if (!connectivity.has_configuration && age >= configuration_timeout)
        return true;
    return is_watcher && (member_lists_agree || age >= member_list_agreement_timeout);
}

} // namespace jasminepier::membership
