/// Structured logging (key=value lines) to standard output.
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

/// Configures easylogging++ to write lines of at least `level` to standard output only.
void configure_logging(log_level level);

/// Limits of asynchronous logging.
struct log_limits
{
    /// Maximum number of lines queued for the writer thread; further lines are dropped and counted.
    std::size_t maximum_queued_lines = 4096;
    /// Maximum number of debug and info lines per second. A node at full size writes about 200.
    std::size_t maximum_lines_per_second = 2000;
};

/// Starts a thread that writes all further lines, so that a slow reader of standard output never
/// blocks the logging threads. The writer logs the number of dropped lines after its next batch.
void start_asynchronous_logging(log_limits limits);

/// Waits up to `timeout` until all queued lines are written. Call it before the process exits.
/// Returns at once if logging is synchronous.
void flush_logs(std::chrono::milliseconds timeout);

/// Returns whether lines of `level` are logged.
bool log_enabled(log_level level) noexcept;

/// Builds one log line and writes it on destruction. Values that contain spaces, quotes or control
/// characters are quoted and escaped, so that an entry is always one line. Values are truncated to
/// 512 bytes.
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
