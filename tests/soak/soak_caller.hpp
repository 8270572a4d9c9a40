/// A caller that sends requests of all kinds, reuses connections, disconnects early and retries.
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

/// Addresses of a node as its callers reach it.
struct node_addresses
{
    std::uint16_t caller_port = 0;
    /// The caller address of this node in the address lists of all nodes.
    std::string listed_address;
    std::string address_list_host;
    std::uint16_t address_list_port = 0;
};

/// How a caller behaves.
struct caller_habits
{
    /// Uses a connection until the node closes it. Otherwise, closes some of them itself.
    bool keeps_connections = false;
    /// Sends short and long requests, with various deadlines and misleading estimates of the
    /// length.
    bool varies_requests = false;
    /// If set, sends only while the value is true, and then with short pauses.
    std::atomic<bool> const* burst = nullptr;
    /// If set, sends only while the value is above 0, and then requests with the deadly prompt part
    /// of this number, to any node and with longer pauses.
    std::atomic<int> const* deadly_part_number = nullptr;
};

class soak_caller
{
public:
    soak_caller(int number, unsigned seed, std::vector<node_addresses> nodes, caller_habits habits);
    /// Waits for the current request.
    ~soak_caller();
    /// Stops after the current request and returns the records.
    std::vector<request_record> finish();
    /// When the thread of this caller ran late; valid after `finish`.
    std::vector<time_span> const& stalls() const noexcept { return m_stalls; }

private:
    struct planned_request
    {
        request_kind kind = request_kind::idempotent;
        std::string method;
        std::string path;
        int event_count = 0;
        milliseconds deadline{0};
        /// Maximum and expected number of output tokens that the request states.
        int maximum_tokens = 0;
        std::optional<int> expected_tokens;
        std::string deadly_part;
    };

    void run();
    void refresh_addresses();
    int select_node();
    /// Returns true if the caller's habits let it send now.
    bool may_send() const;
    unsigned maximum_pause() const;
    planned_request draw_request();
    planned_request draw_deadly_request();
    /// Changes the length, the deadline and the estimates of a request.
    void vary(planned_request& plan);
    request_record send_request(planned_request const& plan, int first_event_number);
    /// Reads the response into the record. Returns true if the connection can be reused.
    bool read_response(request_record& record, std::optional<time_point> disconnect_at);

    int m_number;
    std::mt19937 m_random;
    std::vector<node_addresses> m_nodes;
    caller_habits m_habits;
    std::vector<int> m_listed_nodes;
    time_point m_addresses_refreshed_at;
    std::optional<Poco::Net::StreamSocket> m_connection;
    int m_connected_node = -1;
    int m_request_count = 0;
    std::optional<milliseconds> m_retry_after;
    std::vector<request_record> m_records;
    std::vector<time_span> m_stalls;
    std::atomic<bool> m_stop_requested{false};
    std::thread m_thread;
};

} // namespace jasminepier::tests::soak
