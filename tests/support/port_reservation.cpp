#include "tests/support/port_reservation.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace jasminepier::tests
{
namespace
{

// Below the ports that Linux assigns to outgoing connections.
constexpr int first_reservable_port = 26000;
constexpr int last_reservable_port = 32699;

class file_descriptor
{
public:
    explicit file_descriptor(int descriptor) noexcept : m_descriptor(descriptor) {}
    file_descriptor(file_descriptor&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor&&) = delete;
    ~file_descriptor()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }
    int get() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
};

bool can_bind(int port, int socket_type)
{
    file_descriptor const socket_descriptor(socket(AF_INET, socket_type | SOCK_CLOEXEC, 0));
    // Ports of connections that have ended can be used again; ports with a listener cannot.
    int const enabled = 1;
    if (socket_type == SOCK_STREAM)
        setsockopt(socket_descriptor.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    return bind(socket_descriptor.get(), reinterpret_cast<sockaddr const*>(&address),
                sizeof address) == 0;
}

/// Returns the locked file of this name, or no descriptor if it cannot be locked.
file_descriptor lock_file(std::string const& name, int operation)
{
    auto const path =
        std::filesystem::temp_directory_path() / ("jasminepier-test-ports-" + name + ".lock");
    file_descriptor file(open(path.c_str(), O_RDONLY | O_CREAT | O_CLOEXEC, 0644));
    if (file.get() < 0 || flock(file.get(), operation) != 0)
        return file_descriptor(-1);
    return file;
}

/// Returns the locked file of the block that starts at `first`, or no descriptor if another program
/// holds the lock or uses one of the ports.
file_descriptor try_lock_block(int first)
{
    auto file = lock_file(std::to_string(first), LOCK_EX | LOCK_NB);
    if (file.get() < 0)
        return file;
    for (int port = first; port < first + port_block_size; ++port)
        if (!can_bind(port, SOCK_STREAM) || !can_bind(port, SOCK_DGRAM))
            return file_descriptor(-1);
    return file;
}

} // namespace

std::uint16_t reserve_ports(int count)
{
    // The kernel releases the locks when the program ends, however it ends.
    static std::vector<file_descriptor> held_locks;
    auto const block_count =
        static_cast<std::size_t>((count + port_block_size - 1) / port_block_size);
    std::vector<file_descriptor> locks;
    // Programs that search at the same time would take blocks out of each other's runs.
    auto const search_lock = lock_file("search", LOCK_EX);
    for (int first = first_reservable_port; first + port_block_size <= last_reservable_port + 1;
         first += port_block_size)
    {
        auto lock = try_lock_block(first);
        if (lock.get() < 0)
        {
            locks.clear();
            continue;
        }
        locks.push_back(std::move(lock));
        if (locks.size() < block_count)
            continue;
        std::move(locks.begin(), locks.end(), std::back_inserter(held_locks));
        return static_cast<std::uint16_t>(first + port_block_size -
                                          static_cast<int>(block_count) * port_block_size);
    }
    throw std::runtime_error("no " + std::to_string(count) + " consecutive ports are free from " +
                             std::to_string(first_reservable_port) + " to " +
                             std::to_string(last_reservable_port));
}

} // namespace jasminepier::tests
