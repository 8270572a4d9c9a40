/// A small deployment of processes on loopback for tests.
#pragma once

#include "backend/http_exchange.hpp"
#include "tests/support/process.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jasminepier::tests
{

inline constexpr std::uint16_t platform_port = 9000;
inline constexpr std::uint16_t engine_port_base = 9100;
inline constexpr std::uint16_t service_port_base = 9200;
inline constexpr std::uint16_t gossip_port_base = 9300;
inline constexpr std::uint16_t control_port_base = 9400;
inline constexpr std::uint16_t entry_port_base = 9500;
inline constexpr std::uint16_t entry_peer_port_base = 9600;

/// Polls `condition` until it is true. Returns false after `timeout`.
bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// Starts the object store, engines, plain services and nodes on one loopback address, so that
/// tests with different addresses can run concurrently. Engines are named `engine-1` ... and
/// assigned to zone-a, zone-b and zone-c in turn; servers of the plain service are `shop-1` ...;
/// nodes are `node-1` ... The API key is `demo-key`, the model `demo`. The plain service `shop` has
/// the non-idempotent path prefix /orders.
class deployment
{
public:
    explicit deployment(std::string host);

    void start_engine(int number, std::vector<std::string> const& arguments = {});
    void start_service(int number, std::vector<std::string> const& arguments = {});
    /// Starts the control process and the entry process of a node.
    void start_node(int number);
    /// Waits until the node's entry process reports that it is ready.
    bool wait_until_ready(int node);

    process& program(std::string const& name) { return *m_processes.at(name); }
    /// Sends SIGKILL to the program and waits for it.
    void kill_program(std::string const& name) { m_processes.erase(name); }

    /// Creates or replaces an object of the store.
    void put(std::string const& kind, std::string const& name, std::string const& value);
    /// Sets the faults that the stand-in on `port` injects.
    void set_faults(std::uint16_t port, std::string const& faults);

    backend::backend_response call(std::uint16_t port, std::string const& method,
                                   std::string const& path, std::string const& body = "",
                                   std::map<std::string, std::string> headers = {});
    std::string const& host() const noexcept { return m_host; }

private:
    std::string m_host;
    std::map<std::string, std::unique_ptr<process>> m_processes;
};

} // namespace jasminepier::tests
