#include "membership/platform_reading.hpp"

namespace jasminepier::membership
{

bool reads_platform(base::time_point now, reach const& seen, bool watcher, bool settled) noexcept
{
    if (!seen.peers_named)
        return true;
    auto const age = now - seen.started;
    if (!seen.last_peer_contact)
        return age >= first_answer_wait;
    if (now - *seen.last_peer_contact >= peer_silence_limit)
        return true;
    if (!seen.configuration_merged && age >= configuration_wait)
        return true;
    return watcher && (settled || age >= settling_limit);
}

} // namespace jasminepier::membership
