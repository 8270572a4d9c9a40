#include "tests/soak/soak_caller.hpp"

#include "http/message.hpp"
#include "tests/soak/checks.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/node_process.hpp"

#include <array>

namespace jasminepier::tests::soak
{
namespace
{

using clock = std::chrono::steady_clock;

// Equal to those of the platform's callers: 2 s for a list of addresses, 1 s for connecting.
constexpr milliseconds address_ttl{2000};
constexpr milliseconds connect_timeout{1000};
// Maximum pause between two requests of a caller.
constexpr unsigned maximum_pause_milliseconds = 80;
constexpr unsigned maximum_burst_pause_milliseconds = 8;
constexpr unsigned maximum_deadly_pause_milliseconds = 1000;
// Percentage of requests whose caller disconnects early.
constexpr unsigned disconnect_percentage = 6;
constexpr milliseconds maximum_retry_delay{1000};
constexpr int maximum_caller_attempts = 3;
// How often a caller that waits for a response checks whether to disconnect.
constexpr milliseconds read_timeout{20};
// Callers wait a little longer than the deadline that they send.
constexpr milliseconds response_slack{1000};

Poco::Timespan to_timespan(milliseconds duration)
{
    return Poco::Timespan(duration.count() * 1000);
}

} // namespace

soak_caller::soak_caller(int number, unsigned seed, std::vector<node_addresses> nodes,
                         caller_habits habits)
    : m_number(number), m_random(seed), m_nodes(std::move(nodes)), m_habits(habits),
      m_thread([this] { run(); })
{
}

soak_caller::~soak_caller()
{
    m_stop_requested = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<request_record> soak_caller::finish()
{
    m_stop_requested = true;
    m_thread.join();
    return std::move(m_records);
}

void soak_caller::run()
{
    while (!m_stop_requested)
    {
        if (!may_send())
        {
            std::this_thread::sleep_for(read_timeout);
            continue;
        }
        auto const plan =
            m_habits.deadly_part_number == nullptr ? draw_request() : draw_deadly_request();
        int first_event_number = 1;
        for (int attempt = 0; attempt < maximum_caller_attempts && !m_stop_requested; ++attempt)
        {
            if (clock::now() > m_addresses_refreshed_at + address_ttl)
                refresh_addresses();
            m_retry_after.reset();
            auto const record = send_request(plan, first_event_number);
            m_records.push_back(record);
            bool const rejected = record.status == 503 || record.status == 429;
            bool const done =
                record.disconnected_at || (record.status == 200 && record.is_complete);
            if (done || (!rejected && !record.connect_failed && !may_retry(plan.kind)))
                break;
            if (rejected)
                std::this_thread::sleep_for(
                    std::min(m_retry_after.value_or(milliseconds(100)), maximum_retry_delay));
            // An interrupted stream is resumed after the last event that was received completely.
            for (auto at = record.body.find("\n\n"); at != std::string::npos;
                 at = record.body.find("\n\n", at + 2))
                ++first_event_number;
            if (plan.event_count > 0 && first_event_number > plan.event_count)
                break;
        }
        std::this_thread::sleep_for(milliseconds(m_random() % maximum_pause()));
    }
}

bool soak_caller::may_send() const
{
    return (m_habits.burst == nullptr || *m_habits.burst) &&
           (m_habits.deadly_part_number == nullptr || *m_habits.deadly_part_number > 0);
}

unsigned soak_caller::maximum_pause() const
{
    if (m_habits.deadly_part_number != nullptr)
        return maximum_deadly_pause_milliseconds;
    return m_habits.burst == nullptr ? maximum_pause_milliseconds
                                     : maximum_burst_pause_milliseconds;
}

void soak_caller::refresh_addresses()
{
    m_addresses_refreshed_at = clock::now();
    auto const& node = m_nodes[m_random() % m_nodes.size()];
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(node.address_list_host, node.address_list_port),
                       to_timespan(connect_timeout));
        socket.setReceiveTimeout(to_timespan(connect_timeout));
        send_all(socket, http::write_request(make_request("GET", "/resolve?name=shop", "")));
        std::array<char, 4096> bytes{};
        auto const byte_count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::string const response(bytes.data(), static_cast<std::size_t>(std::max(byte_count, 0)));
        std::vector<int> listed_nodes;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (response.find('"' + m_nodes[i].listed_address + '"') != std::string::npos)
                listed_nodes.push_back(static_cast<int>(i));
        if (!listed_nodes.empty())
            m_listed_nodes = listed_nodes;
    }
    catch (std::exception const&)
    {
        // The node is unreachable. Like the platform's callers, keep the previous list.
    }
}

int soak_caller::select_node()
{
    if (m_listed_nodes.empty())
        return static_cast<int>(m_random() % m_nodes.size());
    return m_listed_nodes[m_random() % m_listed_nodes.size()];
}

soak_caller::planned_request soak_caller::draw_request()
{
    auto const draw = m_random() % 100;
    auto const work = "work-" + std::to_string(10 + m_random() % 150);
    planned_request plan;
    plan.deadline = test_settings::request_deadline;
    plan.method = "POST";
    if (draw < 35)
    {
        plan.kind = request_kind::non_idempotent;
        plan.path = "/order/" + work;
    }
    else if (draw < 70)
    {
        plan.kind = request_kind::idempotent;
        plan.method = "GET";
        plan.path = draw < 40 ? "/check/error" : "/check/" + work;
    }
    else
    {
        bool const is_resumable = draw >= 85;
        plan.kind = is_resumable ? request_kind::resumable_stream : request_kind::stream;
        plan.event_count = 5 + static_cast<int>(m_random() % 60);
        plan.maximum_tokens = plan.event_count;
        plan.path = (is_resumable ? "/question/stream-" : "/plan/stream-") +
                    std::to_string(plan.event_count);
    }
    if (m_habits.varies_requests)
        vary(plan);
    return plan;
}

soak_caller::planned_request soak_caller::draw_deadly_request()
{
    bool const is_resumable = m_random() % 2 == 0;
    planned_request plan;
    plan.kind = is_resumable ? request_kind::resumable_stream : request_kind::stream;
    plan.method = "POST";
    // No two requests are alike but for the part.
    plan.path = (is_resumable ? "/question/" : "/plan/") + std::to_string(m_random()) + "/crash";
    plan.event_count = 5;
    plan.maximum_tokens = plan.event_count;
    plan.deadline = test_settings::request_deadline;
    plan.deadly_part = "dead" + std::to_string(m_habits.deadly_part_number->load());
    m_connection.reset();
    return plan;
}

void soak_caller::vary(planned_request& plan)
{
    constexpr std::array deadlines{milliseconds(1500), milliseconds(3000), milliseconds(8000)};
    plan.deadline = deadlines[m_random() % deadlines.size()];
    if (plan.event_count == 0)
    {
        constexpr std::array work_milliseconds{10, 150, 600, 2500};
        if (!plan.path.ends_with("error"))
            plan.path = plan.path.substr(0, plan.path.rfind('-') + 1) +
                        std::to_string(work_milliseconds[m_random() % work_milliseconds.size()]);
        return;
    }
    constexpr std::array event_counts{3, 30, 120, 280};
    plan.event_count = event_counts[m_random() % event_counts.size()];
    plan.path = plan.path.substr(0, plan.path.rfind('-') + 1) + std::to_string(plan.event_count);
    plan.maximum_tokens = plan.event_count * static_cast<int>(1 + m_random() % 6);
    constexpr std::array estimate_percentages{10, 50, 100, 400};
    plan.expected_tokens = std::max(
        1, plan.event_count * estimate_percentages[m_random() % estimate_percentages.size()] / 100);
}

request_record soak_caller::send_request(planned_request const& plan, int first_event_number)
{
    request_record record;
    record.id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_request_count);
    record.kind = plan.kind;
    record.first_event_number = first_event_number;
    record.last_event_number = plan.event_count;
    record.deadline = plan.deadline;
    record.deadly_part = plan.deadly_part;
    if (m_connection && !m_habits.keeps_connections && m_random() % 3 == 0)
        m_connection.reset();
    if (!m_connection)
        m_connected_node = select_node();
    record.node = m_connected_node;
    auto request = make_request(plan.method, plan.path, record.id);
    request.headers.set("Deadline-Ms", std::to_string(plan.deadline.count()));
    if (plan.event_count > 0)
    {
        request.headers.add("Model", "m");
        request.headers.add("Token-Usage", "200," + std::to_string(plan.maximum_tokens));
        if (plan.expected_tokens)
            request.headers.add("Length-Hint", std::to_string(*plan.expected_tokens));
        request.headers.add("Prefix-Hash",
                            "a:150," + (plan.deadly_part.empty() ? "" : plan.deadly_part + ":40,") +
                                record.id + ":50");
    }
    if (first_event_number > 1)
        request.headers.add("Last-Event-Id", std::to_string(first_event_number - 1));
    std::optional<time_point> disconnect_at;
    record.sent_at = clock::now();
    if (m_random() % 100 < disconnect_percentage)
        disconnect_at = record.sent_at + milliseconds(20 + m_random() % 400);
    bool reusable = false;
    try
    {
        if (!m_connection)
        {
            record.connect_failed = true;
            m_connection.emplace();
            m_connection->connect(
                Poco::Net::SocketAddress(
                    loopback_host, m_nodes[static_cast<std::size_t>(record.node)].caller_port),
                to_timespan(connect_timeout));
            record.connect_failed = false;
        }
        send_all(*m_connection, http::write_request(request));
        reusable = read_response(record, disconnect_at);
    }
    catch (std::exception const&)
    {
        // The connection was lost; the record holds what was received.
    }
    record.ended_at = clock::now();
    if (!reusable)
        m_connection.reset();
    return record;
}

bool soak_caller::read_response(request_record& record, std::optional<time_point> disconnect_at)
{
    m_connection->setReceiveTimeout(to_timespan(read_timeout));
    http::response_reader reader;
    while (is_reading(reader))
    {
        if (clock::now() > record.sent_at + *record.deadline + response_slack)
            return false;
        if (disconnect_at && clock::now() > *disconnect_at)
        {
            m_connection.reset();
            record.disconnected_at = clock::now();
            return false;
        }
        auto const begin = clock::now();
        auto const result = receive_response_part(*m_connection, reader);
        if (clock::now() > begin + read_timeout + stall_threshold)
            m_stalls.push_back({begin, clock::now()});
        record.body += reader.take_body();
        record.status = reader.head().status;
        record.has_signature = reader.head().headers.find("Server-Signature").has_value();
        record.is_complete = reader.current_state() == http::response_reader::state::complete;
        if (result == receive_result::end_of_connection ||
            result == receive_result::lost_connection)
            return false;
    }
    if (auto const retry_after = reader.head().headers.find("Retry-After"))
        m_retry_after = milliseconds(static_cast<int>(std::stod(std::string(*retry_after)) * 1000));
    return record.is_complete && reader.head().headers.find("Connection").value_or("") != "close";
}

} // namespace jasminepier::tests::soak
