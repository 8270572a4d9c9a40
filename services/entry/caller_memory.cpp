#include "services/entry/caller_memory.hpp"

#include "base/log.hpp"

#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>
#include <thread>

namespace jasminepier::entry
{
namespace
{

// POCO keeps a head as text; a field's value has up to twice its size while it grows.
constexpr std::size_t head_growth_factor = 2;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

/// What the request holds that the calling thread reads or serves.
struct caller_memory
{
    http::memory_holder& holder;
    /// Received bytes of the head, and what was read with it.
    std::size_t head_bytes = 0;
    bool reads_head = true;
};

thread_local caller_memory* current = nullptr;

/// Charges what arrives of a head before POCO parses it. Bodies are charged by their readers. The
/// descriptor belongs to the accepted socket.
class counted_socket : public Poco::Net::StreamSocketImpl
{
public:
    explicit counted_socket(poco_socket_t descriptor) : StreamSocketImpl(descriptor) {}
    void close() override { reset(); }
    using StreamSocketImpl::receiveBytes;
    int receiveBytes(void* buffer, int length, int flags) override
    {
        auto const count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (count <= 0 || current == nullptr || !current->reads_head)
            return count;
        auto& holder = current->holder;
        current->head_bytes += static_cast<std::size_t>(count);
        holder.set_stage(http::holder_stage::receiving);
        holder.record_progress(now());
        auto const charge = head_charge(current->head_bytes);
        while (!holder.evicted() && !holder.try_hold_or_evict(charge, now()))
            std::this_thread::sleep_for(room_poll_interval);
        return holder.evicted() ? 0 : count;
    }

protected:
    ~counted_socket() override { reset(); }
};

class caller_http_connection : public Poco::Net::HTTPServerConnection
{
public:
    caller_http_connection(Poco::Net::StreamSocket const& accepted, http::memory_account& account,
                           Poco::Net::HTTPServerParams::Ptr const& parameters,
                           Poco::Net::HTTPRequestHandlerFactory::Ptr const& handlers)
        : HTTPServerConnection(
              Poco::Net::StreamSocket(new counted_socket(accepted.impl()->sockfd())), parameters,
              handlers),
          m_accepted(accepted), m_account(account)
    {
    }

    void run() override
    {
        // A thread that waits for bytes wakes up and finds the end of the connection. The accepted
        // socket stays open until the holder has gone, so its descriptor is not another caller's.
        http::memory_holder holder(
            m_account, [this] { ::shutdown(m_accepted.impl()->sockfd(), SHUT_RD); }, now());
        caller_memory memory{holder};
        current = &memory;
        if (!holder.evicted())
            HTTPServerConnection::run();
        current = nullptr;
        if (holder.evicted())
            base::log_line(base::log_level::info, "caller_evicted")
                .field("cause", http::to_string(holder.cause()))
                .field("held_by_all", m_account.used_bytes())
                .field("connections", m_account.connections());
    }

private:
    Poco::Net::StreamSocket m_accepted;
    http::memory_account& m_account;
};

} // namespace

http::memory_holder* current_caller_memory() noexcept
{
    return current == nullptr ? nullptr : &current->holder;
}

std::size_t current_head_bytes() noexcept
{
    return current == nullptr ? 0 : head_charge(current->head_bytes);
}

std::size_t head_charge(std::size_t received) noexcept
{
    return head_growth_factor * received;
}

served_request::served_request()
{
    if (current == nullptr)
        return;
    current->reads_head = false;
    current->holder.set_stage(http::holder_stage::serving);
}

served_request::~served_request()
{
    if (current == nullptr)
        return;
    current->head_bytes = 0;
    current->reads_head = true;
    current->holder.try_hold(0);
    current->holder.record_progress(now());
    current->holder.set_stage(http::holder_stage::idle);
}

Poco::Net::TCPServerConnection*
caller_connection_factory::createConnection(Poco::Net::StreamSocket const& socket)
{
    return new caller_http_connection(socket, m_account, m_parameters, m_handlers);
}

} // namespace jasminepier::entry
