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

    std::atomic<log_level> threshold{log_level::info};

    void append_value(std::ostringstream& out, std::string_view value)
    {
        // A value may come from a caller; a line of megabytes would drown the others.
        constexpr std::size_t maximum_value_bytes = 512;
        bool const cut = value.size() > maximum_value_bytes;
        value = value.substr(0, maximum_value_bytes);
        bool const plain =
            !cut && !value.empty() && value.find_first_of(" \"=\\") == std::string_view::npos &&
            std::none_of(value.begin(), value.end(),
                         [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
        if (plain)
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
        out << (cut ? "...\"" : "\"");
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

    /// Lines on their way to the writing thread.
    class log_queue
    {
    public:
        explicit log_queue(log_limits limits) : m_limits(limits)
        {
            std::thread([this] { write_for_ever(); }).detach();
        }

        void push(log_level level, std::string text)
        {
            std::lock_guard lock(m_mutex);
            auto const second = std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch());
            if (second != m_second)
            {
                m_second = second;
                m_lines_of_second = 0;
            }
            bool const above_rate = level < log_level::warning &&
                                    m_lines_of_second >= m_limits.maximum_lines_per_second;
            if (above_rate || m_lines.size() >= m_limits.maximum_queued_lines)
            {
                ++m_dropped;
                return;
            }
            ++m_lines_of_second;
            m_lines.emplace_back(level, std::move(text));
            m_changed.notify_one();
        }

        void flush(std::chrono::milliseconds limit)
        {
            std::unique_lock lock(m_mutex);
            m_written.wait_for(lock, limit, [&] { return m_lines.empty() && !m_writing; });
        }

    private:
        using line = std::pair<log_level, std::string>;

        void write_for_ever()
        {
            std::unique_lock lock(m_mutex);
            while (true)
            {
                m_changed.wait(lock, [&] { return !m_lines.empty(); });
                auto const batch = std::exchange(m_lines, {});
                auto const dropped = std::exchange(m_dropped, 0);
                m_writing = true;
                lock.unlock();
                for (auto const& [level, text] : batch)
                    write_line(level, text);
                if (dropped > 0)
                    write_line(log_level::warning,
                               "event=log_lines_dropped lines=" + std::to_string(dropped));
                lock.lock();
                m_writing = false;
                m_written.notify_all();
            }
        }

        log_limits m_limits;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::condition_variable m_written;
        std::deque<line> m_lines;
        bool m_writing = false;
        std::size_t m_dropped = 0;
        std::size_t m_lines_of_second = 0;
        std::chrono::seconds m_second{0};
    };

    std::atomic<log_queue*> queue{nullptr};

    } // namespace

    void configure_logging(log_level level)
    {
        threshold = level;
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
        return level >= threshold.load();
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
        // Lives until the process ends, since any thread may log until then.
        static log_queue instance(limits);
        queue = &instance;
    }

    void flush_logs(std::chrono::milliseconds limit)
    {
        if (auto* const target = queue.load())
            target->flush(limit);
    }

    log_line::~log_line()
    {
        if (!m_enabled)
            return;
        if (auto* const target = queue.load())
            target->push(m_level, m_text.str());
        else
            write_line(m_level, m_text.str());
    }

} // namespace jasminepier::base
