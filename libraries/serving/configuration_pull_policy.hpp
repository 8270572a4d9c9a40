/// When a node pulls a new configuration from any peer instead of its parent in the tree.
#pragma once

namespace jasminepier::serving
{

/// The parent is preferred while it may still get the configuration. A parent that lacks it for
/// some checks, or from which a pull has failed, is passed over. Not synchronized.
class configuration_pull_policy
{
public:
    /// Consecutive checks for which a node waits for its parent.
    static constexpr int checks_per_parent_wait = 3;

    bool use_any_peer() const noexcept { return m_waited_checks >= checks_per_parent_wait; }
    /// Records a check. `behind` is true if any peer has a newer configuration, `has_source` if the
    /// node pulls it now.
    void record_check(bool behind, bool has_source) noexcept
    {
        if (!behind)
            m_waited_checks = 0;
        else if (!has_source)
            ++m_waited_checks;
    }
    /// Records that the pull from the chosen peer failed; the next one goes to any peer.
    void record_failed_pull() noexcept { m_waited_checks = checks_per_parent_wait; }

private:
    int m_waited_checks = 0;
};

} // namespace jasminepier::serving
