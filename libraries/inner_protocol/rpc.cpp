#include "inner_protocol/rpc.hpp"

#include "base/log.hpp"

namespace jasminepier::inner_protocol
{
namespace transport = apache::thrift::transport;
namespace
{

// All objects of the largest fleet planned for take less than 2 MiB.
constexpr int maximum_message_bytes = 16 * 1024 * 1024;

class framed_transport_factory : public transport::TTransportFactory
{
public:
    std::shared_ptr<transport::TTransport>
    getTransport(std::shared_ptr<transport::TTransport> connection) override
    {
        return std::make_shared<transport::TFramedTransport>(std::move(connection),
                                                             make_message_limits());
    }
};

} // namespace

std::shared_ptr<apache::thrift::TConfiguration> make_message_limits()
{
    return std::make_shared<apache::thrift::TConfiguration>(maximum_message_bytes,
                                                            maximum_message_bytes);
}

rpc_server::rpc_server(std::shared_ptr<apache::thrift::TProcessor> const& processor,
                       std::string const& host, int port)
{
    auto socket = std::make_shared<transport::TServerSocket>(host, port);
    socket->setKeepAlive(true);
    m_server = std::make_unique<apache::thrift::server::TThreadedServer>(
        processor, socket, std::make_shared<framed_transport_factory>(),
        std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>());
    m_thread = std::thread(
        [this]
        {
            try
            {
                m_server->serve();
            }
            catch (std::exception const& failure)
            {
                base::log_line(base::log_level::error, "rpc_server_failed")
                    .field("reason", failure.what());
            }
        });
}

rpc_server::~rpc_server()
{
    m_server->stop();
    m_thread.join();
}

} // namespace jasminepier::inner_protocol
