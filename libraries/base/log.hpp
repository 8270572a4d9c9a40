/// Structured log lines (key=value) on standard output.
#pragma once

#include <chrono>
#include <sstream>
#include <string>
#include <string_view>

namespace jasminepier::base
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Configures easylogging++ to write to standard output only, from `level` up.
void configure_logging(log_level level);

/// Bounds of background logging.
struct log_limits
{
    /// Lines that wait for the writer; further ones are dropped and counted.
    std::size_t maximum_queued_lines = 4096;
    /// Lines below a warning in one second; a node at full size writes about 200.
    std::size_t maximum_lines_per_second = 2000;
};

/// Lets a thread of its own write the lines from now on, so that a slow reader of standard output
/// never holds up the caller. A line about dropped lines follows as soon as there is room.
void start_asynchronous_logging(log_limits limits);

/// Waits until the lines so far are written, at most `limit`. For the end of a process.
void flush_logs(std::chrono::milliseconds limit);

/// Returns false when a line of `level` would be dropped.
bool log_enabled(log_level level) noexcept;

/// Builds one log line; the line is written when the object is destroyed. Values that contain
/// spaces, quotes or control characters are quoted and escaped, so that a line stays one line;
/// values are cut after 512 bytes.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    log_line(log_line const&) = delete;
    log_line& operator=(log_line const&) = delete;
    ~log_line();

    log_line& field(std::string_view key, std::string_view value);
    template <class T>
    requires std::is_arithmetic_v<T> log_line& field(std::string_view key, T value)
    {
        if (m_enabled)
            m_text << ' ' << key << '=' << +value;
        return *this;
    }

private:
    log_level m_level;
    bool m_enabled;
    std::ostringstream m_text;
};

} // namespace jasminepier::base
