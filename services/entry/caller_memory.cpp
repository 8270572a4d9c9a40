#include "services/entry/caller_memory.hpp"

#include "base/log.hpp"

#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/socket.h>

namespace jasminepier::entry
{
namespace
{

thread_local http::memory_holder* current_holder = nullptr;

base::time_point now()
{
    return base::steady_clock_source{}.now();
}

class caller_http_connection : public Poco::Net::HTTPServerConnection
{
public:
    caller_http_connection(Poco::Net::StreamSocket const& accepted, http::memory_account& account,
                           Poco::Net::HTTPServerParams::Ptr const& parameters,
                           Poco::Net::HTTPRequestHandlerFactory::Ptr const& handlers)
        : HTTPServerConnection(accepted, parameters, handlers), m_account(account)
    {
    }

    void run() override
    {
        // A thread that waits for bytes wakes up and finds the end of the connection.
        http::memory_holder holder(
            m_account, [this] { ::shutdown(socket().impl()->sockfd(), SHUT_RD); }, now());
        current_holder = &holder;
        if (!holder.evicted())
            HTTPServerConnection::run();
        current_holder = nullptr;
        if (holder.evicted())
            base::log_line(base::log_level::info, "caller_evicted")
                .field("cause", http::to_string(holder.cause()))
                .field("held_by_all", m_account.used_bytes())
                .field("connections", m_account.connections());
    }

private:
    http::memory_account& m_account;
};

} // namespace

http::memory_holder* current_caller_memory() noexcept
{
    return current_holder;
}

served_request::served_request()
{
    if (current_holder != nullptr)
        current_holder->set_stage(http::holder_stage::serving);
}

served_request::~served_request()
{
    if (current_holder == nullptr)
        return;
    current_holder->try_hold(0);
    current_holder->record_progress(now());
    current_holder->set_stage(http::holder_stage::idle);
}

Poco::Net::TCPServerConnection*
caller_connection_factory::createConnection(Poco::Net::StreamSocket const& socket)
{
    return new caller_http_connection(socket, m_account, m_parameters, m_handlers);
}

} // namespace jasminepier::entry
