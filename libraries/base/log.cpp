#include "base/log.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <atomic>

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

    log_line::~log_line()
    {
        if (!m_enabled)
            return;
        switch (m_level)
        {
        case log_level::debug:
            LOG(DEBUG) << m_text.str();
            break;
        case log_level::info:
            LOG(INFO) << m_text.str();
            break;
        case log_level::warning:
            LOG(WARNING) << m_text.str();
            break;
        case log_level::error:
            LOG(ERROR) << m_text.str();
            break;
        }
    }

} // namespace jasminepier::base
