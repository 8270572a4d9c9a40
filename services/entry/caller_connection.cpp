#include "services/entry/caller_connection.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <cerrno>
#include <sys/socket.h>

namespace jasminepier::entry
{

bool caller_disconnected(http_request& request)
{
    auto* connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    if (connection == nullptr)
        return false;
    char byte = 0;
    auto const received =
        ::recv(connection->socket().impl()->sockfd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

void set_write_timeout(http_request& request)
{
    if (auto* connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request))
        connection->socket().setSendTimeout(Poco::Timespan(write_timeout_seconds, 0));
}

} // namespace jasminepier::entry
