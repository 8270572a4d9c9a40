/// Reloads the settings file when it changes.
#pragma once

#include "services/node/node_state.hpp"

#include <string>

namespace jasminepier::node
{

/// Applies the content of a changed settings file. An invalid file leaves the current settings in
/// place. Not thread-safe.
class settings_reloader
{
public:
    settings_reloader(node_state& state, std::string path);

    /// Applies the file if its content differs from the last read. `reason` is logged.
    void reload_if_changed(std::string_view reason);

private:
    std::string read_content() const;

    node_state& m_state;
    std::string m_path;
    std::string m_content;
};

} // namespace jasminepier::node
