#include "serving/process_shutdown.hpp"

namespace jasminepier::serving
{

void process_shutdown::begin(base::time_point now, std::optional<base::time_point> end)
{
    m_admission.begin(now, end);
    m_begin_event.signal();
}

base::result<void> process_shutdown::check_start(std::optional<base::time_point> deadline) const
{
    if (m_admission.admits(deadline))
        return {};
    return base::fail(base::error_kind::node_stopping,
                      "this node may stop before the response has ended");
}

} // namespace jasminepier::serving
