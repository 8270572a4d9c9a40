/// Name and addresses of an entry node, as registered in the store.
#pragma once

#include <cstdint>
#include <string>

namespace jasminepier::serving
{

struct node_entry
{
    std::string name;
    std::string zone;
    /// IP:PORT that callers connect to.
    std::string caller_address;
    /// Host and port for reports and calls of peers.
    std::string peer_host;
    std::uint16_t peer_port = 0;

    bool operator==(node_entry const&) const = default;
};

} // namespace jasminepier::serving
