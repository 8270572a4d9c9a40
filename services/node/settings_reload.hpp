/// Follows changes of the settings file.
#pragma once

#include "services/node/node_state.hpp"

#include <string>

namespace jasminepier::node
{

/// Rereads the settings file after a signal and when its content has changed without one. An
/// unreadable file leaves the settings in force.
class settings_reload
{
public:
    settings_reload(node_state& state, std::string path);

    /// Rereads the file if its content differs from what was read last. `reason` is for the log.
    void check(std::string_view reason);

private:
    std::string read_content() const;

    node_state& m_state;
    std::string m_path;
    std::string m_content;
};

} // namespace jasminepier::node
