#include "tests/soak/soak_caller.hpp"

#include "http/message.hpp"
#include "http/response_reader.hpp"
#include "tests/soak/checks.hpp"
#include "tests/support/connection_server.hpp"
#include "tests/support/node_process.hpp"

#include <array>

namespace jasminepier::tests::soak
{
namespace
{

using clock = std::chrono::steady_clock;

// As the platform's callers: an answer with addresses counts 2 s, a connection may take 1 s.
constexpr milliseconds address_life{2000};
constexpr milliseconds connect_limit{1000};
// Pause between two requests of a caller.
constexpr unsigned longest_pause_milliseconds = 80;
constexpr unsigned leavers_in_hundred = 6;
constexpr milliseconds longest_retry_pause{1000};
constexpr int most_attempts = 3;
// How often a waiting caller looks whether it is to leave.
constexpr milliseconds read_step{20};
// Callers wait a little longer than the deadline that they state.
constexpr milliseconds patience = configured::caller_deadline + milliseconds(1000);

Poco::Timespan to_timespan(milliseconds time)
{
    return Poco::Timespan(time.count() * 1000);
}

} // namespace

soak_caller::soak_caller(int number, unsigned seed, std::vector<node_access> nodes)
    : m_number(number), m_random(seed), m_nodes(std::move(nodes)), m_thread([this] { run(); })
{
}

soak_caller::~soak_caller()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<call_record> soak_caller::finish()
{
    m_stopping = true;
    m_thread.join();
    return std::move(m_records);
}

void soak_caller::run()
{
    while (!m_stopping)
    {
        auto const plan = choose_request();
        int first_event = 1;
        for (int attempt = 0; attempt < most_attempts && !m_stopping; ++attempt)
        {
            if (clock::now() > m_refreshed + address_life)
                refresh_addresses();
            m_retry_after.reset();
            auto const record = call(plan, first_event);
            m_records.push_back(record);
            bool const refused = record.status == 503 || record.status == 429;
            bool const done = record.left || (record.status == 200 && record.whole);
            if (done || (!refused && !record.not_sent && !may_repeat(plan.kind)))
                break;
            if (refused)
                std::this_thread::sleep_for(
                    std::min(m_retry_after.value_or(milliseconds(100)), longest_retry_pause));
            // A stream that broke off goes on behind the last event that came whole.
            for (auto at = record.body.find("\n\n"); at != std::string::npos;
                 at = record.body.find("\n\n", at + 2))
                ++first_event;
            if (plan.events > 0 && first_event > plan.events)
                break;
        }
        std::this_thread::sleep_for(milliseconds(m_random() % longest_pause_milliseconds));
    }
}

void soak_caller::refresh_addresses()
{
    m_refreshed = clock::now();
    auto const& asked = m_nodes[m_random() % m_nodes.size()];
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(asked.address_host, asked.address_port),
                       to_timespan(connect_limit));
        socket.setReceiveTimeout(to_timespan(connect_limit));
        send_all(socket, http::write_request(make_request("GET", "/resolve?name=shop", "")));
        std::array<char, 4096> bytes{};
        auto const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::string const text(bytes.data(), static_cast<std::size_t>(std::max(count, 0)));
        std::vector<int> named;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (text.find('"' + m_nodes[i].named_as + '"') != std::string::npos)
                named.push_back(static_cast<int>(i));
        if (!named.empty())
            m_named = named;
    }
    catch (std::exception const&)
    {
        // The node is away; the caller keeps its older answer, as the platform's callers do.
    }
}

int soak_caller::choose_node()
{
    if (m_named.empty())
        return static_cast<int>(m_random() % m_nodes.size());
    return m_named[m_random() % m_named.size()];
}

soak_caller::request_plan soak_caller::choose_request()
{
    auto const drawn = m_random() % 100;
    auto const work = "work-" + std::to_string(10 + m_random() % 150);
    if (drawn < 35)
        return {request_kind::order, "POST", "/order/" + work};
    if (drawn < 70)
        return {request_kind::check, "GET", drawn < 40 ? "/check/error" : "/check/" + work};
    int const events = 5 + static_cast<int>(m_random() % 60);
    bool const plan = drawn < 85;
    return {plan ? request_kind::plan : request_kind::question, "POST",
            (plan ? "/plan/stream-" : "/question/stream-") + std::to_string(events), events};
}

call_record soak_caller::call(request_plan const& plan, int first_event)
{
    call_record record;
    record.id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_count);
    record.kind = plan.kind;
    record.first_event = first_event;
    record.last_event = plan.events;
    if (m_connection && m_random() % 3 == 0)
        m_connection.reset();
    if (!m_connection)
        m_connected_node = choose_node();
    record.node = m_connected_node;
    auto request = make_request(plan.method, plan.path, record.id);
    request.headers.set("Deadline-Ms", std::to_string(configured::caller_deadline.count()));
    if (plan.events > 0)
    {
        request.headers.add("Model", "m");
        request.headers.add("Token-Usage", "200," + std::to_string(plan.events));
        request.headers.add("Prefix-Hash", "a:150," + record.id + ":50");
    }
    if (first_event > 1)
        request.headers.add("Last-Event-Id", std::to_string(first_event - 1));
    std::optional<time_point> leave_at;
    record.sent = clock::now();
    if (m_random() % 100 < leavers_in_hundred)
        leave_at = record.sent + milliseconds(20 + m_random() % 400);
    bool reusable = false;
    try
    {
        if (!m_connection)
        {
            record.not_sent = true;
            m_connection.emplace();
            m_connection->connect(
                Poco::Net::SocketAddress(
                    loopback_host, m_nodes[static_cast<std::size_t>(record.node)].caller_port),
                to_timespan(connect_limit));
            record.not_sent = false;
        }
        send_all(*m_connection, http::write_request(request));
        reusable = read_answer(record, leave_at);
    }
    catch (std::exception const&)
    {
        // The connection ended; the record holds what came before.
    }
    record.ended = clock::now();
    if (!reusable)
        m_connection.reset();
    return record;
}

bool soak_caller::read_answer(call_record& record, std::optional<time_point> leave_at)
{
    m_connection->setReceiveTimeout(to_timespan(read_step));
    http::response_reader reader;
    std::array<char, 8192> bytes{};
    auto const note = [&]
    {
        record.body += reader.take_body();
        record.status = reader.head().status;
        record.has_signature = reader.head().headers.find("Server-Signature").has_value();
        record.whole = reader.current_state() == http::response_reader::state::complete;
    };
    while (reader.current_state() == http::response_reader::state::reading_head ||
           reader.current_state() == http::response_reader::state::reading_body)
    {
        if (clock::now() > record.sent + patience)
            return false;
        if (leave_at && clock::now() > *leave_at)
        {
            m_connection.reset();
            record.left = clock::now();
            return false;
        }
        try
        {
            auto const count =
                m_connection->receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count <= 0)
            {
                reader.feed_eof();
                note();
                return false;
            }
            reader.feed({bytes.data(), static_cast<std::size_t>(count)});
            note();
        }
        catch (Poco::TimeoutException const&)
        {
            // Nothing came within this step.
        }
    }
    if (auto const pause = reader.head().headers.find("Retry-After"))
        m_retry_after = milliseconds(static_cast<int>(std::stod(std::string(*pause)) * 1000));
    return record.whole && reader.head().headers.find("Connection").value_or("") != "close";
}

} // namespace jasminepier::tests::soak
