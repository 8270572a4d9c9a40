#include "tests/support/caller_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminepier::tests
{
namespace
{

// A crowd of which nothing moves for this long stays as it is.
constexpr std::chrono::seconds patience{3};
constexpr int poll_interval_ms = 20;

} // namespace

caller_crowd::caller_crowd(std::string const& host, std::uint16_t port, int callers,
                           hostile_message message)
    : m_message(std::move(message))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    for (int i = 0; i < callers; ++i)
    {
        auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            throw std::runtime_error("cannot open a socket");
        m_callers.push_back({descriptor, 0, false});
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
            errno != EINPROGRESS)
            throw std::runtime_error("cannot connect");
    }
}

caller_crowd::~caller_crowd()
{
    for (auto const& each : m_callers)
        ::close(each.descriptor);
}

bool caller_crowd::advance(caller& each)
{
    bool moved = false;
    while (!each.ended)
    {
        if (each.sent >= m_message.maximum_bytes)
        {
            each.ended = true;
            return true;
        }
        std::string_view text = m_message.head;
        if (each.sent < text.size())
            text.remove_prefix(each.sent);
        else
        {
            text = m_message.repeated;
            text.remove_prefix((each.sent - m_message.head.size()) % text.size());
        }
        text = text.substr(0, m_message.maximum_bytes - each.sent);
        auto const written = ::send(each.descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return moved;
        moved = true;
        if (written < 0)
        {
            each.ended = true;
            ++m_cut_off;
            return true;
        }
        each.sent += static_cast<std::uint64_t>(written);
        m_sent_bytes += static_cast<std::uint64_t>(written);
        // The others take their turn.
        if (text.size() > static_cast<std::size_t>(written))
            return moved;
    }
    return moved;
}

void caller_crowd::send(std::function<void()> const& observe)
{
    // Long blocks keep the number of system calls small.
    constexpr std::size_t block_bytes = 16384;
    auto const piece = m_message.repeated;
    while (!piece.empty() && m_message.repeated.size() < block_bytes)
        m_message.repeated += piece;
    auto last_move = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - last_move < patience)
    {
        std::vector<pollfd> waiting;
        for (auto& each : m_callers)
        {
            if (!each.ended && advance(each))
                last_move = std::chrono::steady_clock::now();
            if (!each.ended)
                waiting.push_back({each.descriptor, POLLOUT, 0});
        }
        observe();
        ::poll(waiting.data(), waiting.size(), poll_interval_ms);
    }
}

std::int64_t peak_memory_kib(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string const name = "VmHWM:";
    for (std::string word; file >> word;)
    {
        std::int64_t size = 0;
        if (word == name && file >> size)
            return size;
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code error;
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(process) + "/fd",
                                                      error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string make_chunk(std::string const& data)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace jasminepier::tests
