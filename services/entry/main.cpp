/// The request-serving process of an entry VM.
#include "base/background_thread.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/stop_signal.hpp"
#include "services/entry/control_link.hpp"
#include "services/entry/front_handler.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

int main(int argc, char** argv)
{
    using namespace jasminepier;
    base::block_stop_signals();
    base::settings_parser parser("Serves callers on a jasminepier entry VM", "jasminepier-entry");
    std::string host = "127.0.0.1";
    std::uint16_t entry_port = 7001;
    std::uint16_t control_port = 7002;
    int workers = 1024;
    parser.add("host", host, "IP address of this entry VM")->check(base::ip_address());
    parser.add_port("entry-port", entry_port, "Port for callers");
    parser.add_port("control-port", control_port, "Port of the control process on this VM");
    parser.add("workers", workers, "Most connections served at once")
        ->check(base::in_range<std::int64_t>(2, 20000));
    parser.require_distinct_ports({{"entry-port", &entry_port}, {"control-port", &control_port}});
    if (auto status = parser.try_parse(argc, argv))
        return *status;
    base::configure_logging(parser.level());

    entry::entry_state state;
    entry::control_link link(state, host, control_port);
    base::background_thread const exchanging(std::chrono::milliseconds(200),
                                             [&] { link.exchange(); });
    Poco::ThreadPool pool(16, workers);
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(workers);
    parameters->setMaxQueued(workers);
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress(host, entry_port), 1024);
    Poco::Net::HTTPServer server(new entry::front_handler_factory(state, link), pool, socket,
                                 parameters);
    server.start();
    base::wait_for_stop_signal();
    server.stopAll(false);
    std::_Exit(0);
}
