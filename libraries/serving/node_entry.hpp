/// One entry node as it makes itself known to the others.
#pragma once

#include <cstdint>
#include <string>

namespace jasminepier::serving
{

struct node_entry
{
    std::string name;
    std::string zone;
    /// IP:PORT for callers.
    std::string caller_address;
    /// Where the node receives reports of its peers.
    std::string peer_host;
    std::uint16_t peer_port = 0;

    bool operator==(node_entry const&) const = default;
};

} // namespace jasminepier::serving
