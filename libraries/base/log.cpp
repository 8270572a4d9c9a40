#include "base/log.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace jasminepier::base
{
    namespace
    {

    std::atomic<log_level> minimum_level{log_level::info};

    void append_value(std::ostringstream& out, std::string_view value)
    {
        // Values may come from a caller, who must not be able to flood the log with huge lines.
        constexpr std::size_t maximum_value_bytes = 512;
        bool const truncated = value.size() > maximum_value_bytes;
        value = value.substr(0, maximum_value_bytes);
        bool const unquoted =
            !truncated && !value.empty() &&
            value.find_first_of(" \"=\\") == std::string_view::npos &&
            std::none_of(value.begin(), value.end(),
                         [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
        if (unquoted)
        {
            out << value;
            return;
        }
        out << '"';
        for (char c : value)
        {
            auto const code = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\')
                out << '\\' << c;
            else if (code < 0x20 || code == 0x7f)
                out << "\\x"
                    << "0123456789abcdef"[code >> 4] << "0123456789abcdef"[code & 15U];
            else
                out << c;
        }
        out << (truncated ? "...\"" : "\"");
    }

    void write_line(log_level level, std::string const& text)
    {
        switch (level)
        {
        case log_level::debug:
            LOG(DEBUG) << text;
            break;
        case log_level::info:
            LOG(INFO) << text;
            break;
        case log_level::warning:
            LOG(WARNING) << text;
            break;
        case log_level::error:
            LOG(ERROR) << text;
            break;
        }
    }

    /// A bounded queue of log lines, with the thread that writes them.
    class log_queue
    {
    public:
        explicit log_queue(log_limits limits) : m_limits(limits)
        {
            std::thread([this] { run(); }).detach();
        }

        void enqueue(log_level level, std::string text)
        {
            std::lock_guard lock(m_mutex);
            auto const second = std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch());
            if (second != m_current_second)
            {
                m_current_second = second;
                m_lines_this_second = 0;
            }
            bool const exceeds_rate = level < log_level::warning &&
                                      m_lines_this_second >= m_limits.maximum_lines_per_second;
            if (exceeds_rate || m_lines.size() >= m_limits.maximum_queued_lines)
            {
                ++m_dropped_lines;
                return;
            }
            ++m_lines_this_second;
            m_lines.emplace_back(level, std::move(text));
            m_lines_available.notify_one();
        }

        void flush(std::chrono::milliseconds timeout)
        {
            std::unique_lock lock(m_mutex);
            m_lines_written.wait_for(lock, timeout,
                                     [&] { return m_lines.empty() && !m_write_in_progress; });
        }

    private:
        using line = std::pair<log_level, std::string>;

        void run()
        {
            std::unique_lock lock(m_mutex);
            while (true)
            {
                m_lines_available.wait(lock, [&] { return !m_lines.empty(); });
                auto const batch = std::exchange(m_lines, {});
                auto const dropped = std::exchange(m_dropped_lines, 0);
                m_write_in_progress = true;
                lock.unlock();
                for (auto const& [level, text] : batch)
                    write_line(level, text);
                if (dropped > 0)
                    write_line(log_level::warning,
                               "event=log_lines_dropped lines=" + std::to_string(dropped));
                lock.lock();
                m_write_in_progress = false;
                m_lines_written.notify_all();
            }
        }

        log_limits m_limits;
        std::mutex m_mutex;
        std::condition_variable m_lines_available;
        std::condition_variable m_lines_written;
        std::deque<line> m_lines;
        bool m_write_in_progress = false;
        std::size_t m_dropped_lines = 0;
        std::size_t m_lines_this_second = 0;
        std::chrono::seconds m_current_second{0};
    };

    std::atomic<log_queue*> background_queue{nullptr};

    } // namespace

    void configure_logging(log_level level)
    {
        minimum_level = level;
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        configuration.setGlobally(el::ConfigurationType::Format,
                                  "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
        el::Loggers::reconfigureAllLoggers(configuration);
    }

    bool log_enabled(log_level level) noexcept
    {
        return level >= minimum_level.load();
    }

    log_line::log_line(log_level level, std::string_view event)
        : m_level(level), m_enabled(log_enabled(level))
    {
        if (m_enabled)
            m_text << "event=" << event;
    }

    log_line& log_line::field(std::string_view key, std::string_view value)
    {
        if (!m_enabled)
            return *this;
        m_text << ' ' << key << '=';
        append_value(m_text, value);
        return *this;
    }

    void start_asynchronous_logging(log_limits limits)
    {
        // Static, since any thread may log until the process exits.
        static log_queue instance(limits);
        background_queue = &instance;
    }

    void flush_logs(std::chrono::milliseconds timeout)
    {
        if (auto* const target = background_queue.load())
            target->flush(timeout);
    }

    log_line::~log_line()
    {
        if (!m_enabled)
            return;
        if (auto* const target = background_queue.load())
            target->enqueue(m_level, m_text.str());
        else
            write_line(m_level, m_text.str());
    }

} // namespace jasminepier::base
