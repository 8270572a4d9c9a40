#include "inner_protocol/rpc.hpp"

#include "base/log.hpp"

namespace jasminepier::inner_protocol
{
namespace transport = apache::thrift::transport;

rpc_server::rpc_server(std::shared_ptr<apache::thrift::TProcessor> const& processor,
                       std::string const& host, int port)
{
    auto socket = std::make_shared<transport::TServerSocket>(host, port);
    socket->setKeepAlive(true);
    m_server = std::make_unique<apache::thrift::server::TThreadedServer>(
        processor, socket, std::make_shared<transport::TFramedTransportFactory>(),
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
