/// A caller of the soak: sends requests of all kinds, keeps connections, leaves, comes back.
#pragma once

#include "tests/soak/history.hpp"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace jasminepier::tests::soak
{

/// Where a caller reaches one node.
struct node_access
{
    std::uint16_t caller_port = 0;
    /// The address by which the nodes name this one to callers.
    std::string named_as;
    std::string address_host;
    std::uint16_t address_port = 0;
};

class soak_caller
{
public:
    soak_caller(int number, unsigned seed, std::vector<node_access> nodes);
    /// Ends after the request that is under way.
    ~soak_caller();
    /// Ends the caller and returns its records.
    std::vector<call_record> finish();

private:
    struct request_plan
    {
        request_kind kind;
        std::string method;
        std::string path;
        int events = 0;
    };

    void run();
    void refresh_addresses();
    int choose_node();
    request_plan choose_request();
    call_record call(request_plan const& plan, int first_event);
    /// Reads the answer into the record; returns true when the connection can be used again.
    bool read_answer(call_record& record, std::optional<time_point> leave_at);

    int m_number;
    std::mt19937 m_random;
    std::vector<node_access> m_nodes;
    std::vector<int> m_named;
    time_point m_refreshed;
    std::optional<Poco::Net::StreamSocket> m_connection;
    int m_connected_node = -1;
    int m_count = 0;
    std::optional<milliseconds> m_retry_after;
    std::vector<call_record> m_records;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace jasminepier::tests::soak
