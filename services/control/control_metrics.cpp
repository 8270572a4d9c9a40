#include "services/control/control_metrics.hpp"

#include "metrics/exposition.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <algorithm>

namespace jasminepier::control
{
namespace
{

/// Number of concurrent scrapes; each takes well under a millisecond.
constexpr int listener_threads = 2;

struct last_preemption_count
{
    std::string instance;
    std::int64_t preemptions = 0;
};

struct control_metric_families
{
    metrics::family<metrics::counter> preemptions{
        "jasminepier_preemptions_total",
        "Running generations that engines interrupted for lack of memory.",
        {{"zone", 24}, {"service", 24}}};
    std::mutex mutex;
    std::map<std::string, last_preemption_count> preemptions_by_server;
};

control_metric_families& all_families()
{
    static control_metric_families instance;
    return instance;
}

void write_gauge(std::string& out, std::string const& name, std::string const& help,
                 std::int64_t value)
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " gauge\n" + name + " " +
           std::to_string(value) + "\n";
}

class metrics_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit metrics_handler(control_state const& state) : m_state(state) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        std::string text;
        if (request.getURI() == "/metrics")
            text = format_control_metrics(m_state);
        else
            response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
        response.setContentType(metrics::exposition_content_type);
        response.sendBuffer(text.data(), text.size());
    }

private:
    control_state const& m_state;
};

class metrics_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit metrics_handler_factory(control_state const& state) : m_state(state) {}
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new metrics_handler(m_state);
    }

private:
    control_state const& m_state;
};

Poco::Net::HTTPServerParams* make_server_parameters()
{
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(listener_threads);
    parameters->setMaxQueued(16);
    parameters->setKeepAlive(false);
    return parameters;
}

} // namespace

void record_preemptions(configuration::server const& server,
                        inner_protocol::load_digest const& digest)
{
    // An unreachable server reports nothing; its instance id is empty.
    if (digest.instance.empty())
        return;
    auto& metric_families = all_families();
    std::int64_t preemptions_since_last_report = 0;
    {
        std::lock_guard lock(metric_families.mutex);
        auto const [entry, is_first_report] = metric_families.preemptions_by_server.try_emplace(
            server.name, last_preemption_count{digest.instance, 0});
        auto& last_count = entry->second;
        if (is_first_report)
            // Other processes have counted the preemptions before this first report.
            last_count.preemptions = digest.preemptions;
        if (last_count.instance != digest.instance)
            last_count = {digest.instance, 0};
        preemptions_since_last_report =
            std::max<std::int64_t>(0, digest.preemptions - last_count.preemptions);
        last_count.preemptions = std::max(last_count.preemptions, digest.preemptions);
    }
    if (preemptions_since_last_report > 0)
        metric_families.preemptions.with_labels({server.zone, server.service})
            .add(static_cast<std::uint64_t>(preemptions_since_last_report));
}

std::string format_control_metrics(control_state const& state)
{
    std::string out;
    write_family(out, all_families().preemptions);
    write_gauge(out, "jasminepier_configuration_revision",
                "Highest version of the configuration that this node has merged.",
                state.confirmed_revision());
    write_gauge(out, "jasminepier_applied_revision",
                "Revision that the entry process of this node serves with.",
                state.applied_revision());
    return out;
}

struct metrics_listener::server_parts
{
    server_parts(control_state const& state, std::string const& host, std::uint16_t port)
        : pool(1, listener_threads), socket(Poco::Net::SocketAddress(host, port), 16),
          server(new metrics_handler_factory(state), pool, socket, make_server_parameters())
    {
        server.start();
    }
    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer server;
};

metrics_listener::metrics_listener(control_state const& state, std::string const& host,
                                   std::uint16_t port)
    : m_server_parts(std::make_unique<server_parts>(state, host, port))
{
}

metrics_listener::~metrics_listener()
{
    m_server_parts->server.stopAll(true);
}

} // namespace jasminepier::control
