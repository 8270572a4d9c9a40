#include "http/connection_probe.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace jasminepier::http
{

bool refuses_connection(std::string const& address, base::milliseconds timeout)
{
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address),
                       Poco::Timespan(std::chrono::microseconds(timeout).count()));
        return false;
    }
    catch (Poco::Net::ConnectionRefusedException const&)
    {
        return true;
    }
    catch (Poco::Exception const&)
    {
        return false;
    }
}

} // namespace jasminepier::http
