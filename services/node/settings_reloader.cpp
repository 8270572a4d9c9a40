#include "services/node/settings_reloader.hpp"

#include "base/log.hpp"
#include "platform/settings.hpp"
#include "services/node/node_metrics.hpp"

#include <fstream>
#include <iterator>

namespace jasminepier::node
{

settings_reloader::settings_reloader(node_state& state, std::string path)
    : m_state(state), m_path(std::move(path)), m_content(read_content())
{
}

std::string settings_reloader::read_content() const
{
    std::ifstream file(m_path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void settings_reloader::reload_if_changed(std::string_view reason)
{
    auto content = read_content();
    if (content == m_content)
        return;
    m_content = std::move(content);
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(settings, platform::read_settings(m_path));
            m_state.update_settings(settings);
            observe_event("reload", "applied");
            base::log_line(base::log_level::info, "settings_reloaded")
                .field("reason", reason)
                .field("stop_grace_ms", settings.shutdown_grace_period.count())
                .field("retry_ratio", settings.retry_limits.ratio)
                .field("retry_slack", settings.retry_limits.slack);
            return {};
        },
        [&](base::error const& failure)
        {
            observe_event("reload", "refused");
            base::log_line(base::log_level::error, "settings_refused")
                .field("reason", failure.message);
        });
}

} // namespace jasminepier::node
