/// Tests of the reader for engines' event streams.
#include "backend/event_stream.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace jasminepier::backend
{
namespace
{

using poll_result = event_stream_reader::poll_result;

bool always_readable()
{
    return true;
}

/// Provides the same bytes without end.
class endless_buffer : public std::streambuf
{
public:
    explicit endless_buffer(std::string bytes) : m_bytes(std::move(bytes)) {}

protected:
    int_type underflow() override
    {
        setg(m_bytes.data(), m_bytes.data(), m_bytes.data() + m_bytes.size());
        return traits_type::to_int_type(m_bytes.front());
    }

private:
    std::string m_bytes;
};

// Guards against a thread that reads on beyond its request's deadline, since an engine in trouble
// sends lines without end that are no event.
TEST(event_stream_reader, returns_while_no_event_arrives)
{
    for (auto const* line : {"\n", ": comment\n", "id: 1\n", "event: x\n\n", "garbage\n"})
    {
        endless_buffer buffer(line);
        std::istream stream(&buffer);
        event_stream_reader reader(stream, 1000);
        server_sent_event event;
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(reader.poll(always_readable, event), poll_result::waiting) << line;
    }
}

// Guards against an engine that fills the memory of the process.
TEST(event_stream_reader, ends_lines_and_events_without_end)
{
    for (auto const* bytes : {"x", "data: x\n", "data:\n"})
    {
        endless_buffer buffer(bytes);
        std::istream stream(&buffer);
        event_stream_reader reader(stream, 1000);
        server_sent_event event;
        auto result = poll_result::waiting;
        for (int i = 0; i < 100 && result == poll_result::waiting; ++i)
            result = reader.poll(always_readable, event);
        EXPECT_EQ(result, poll_result::ended) << bytes;
    }
}

TEST(event_stream_reader, keeps_a_partial_event_between_calls)
{
    std::istringstream stream(std::string(100, '\n') + "data: first\n" + std::string(20, ':') +
                              "\ndata: second\n\n");
    event_stream_reader reader(stream, 30);
    server_sent_event event;
    auto result = poll_result::waiting;
    for (int i = 0; i < 100 && result == poll_result::waiting; ++i)
        result = reader.poll(always_readable, event);
    EXPECT_EQ(result, poll_result::event);
    EXPECT_EQ(event.data, "first\nsecond");
    EXPECT_FALSE(reader.next().has_value());
}

} // namespace
} // namespace jasminepier::backend
