#include "decision/shutdown_admission.hpp"

#include <algorithm>

namespace jasminepier::decision
{

void shutdown_admission::begin(base::time_point now, std::optional<base::time_point> end)
{
    m_begin = now;
    m_end = end.value_or(base::time_point::max());
    // Last, since readers check it first.
    m_begun = true;
}

base::milliseconds shutdown_admission::elapsed(base::time_point now) const noexcept
{
    return std::chrono::duration_cast<base::milliseconds>(now - m_begin.load());
}

bool shutdown_admission::admits(std::optional<base::time_point> deadline) const noexcept
{
    return !m_begun || deadline.value_or(base::time_point::max()) <= m_end.load();
}

base::time_point shutdown_admission::response_deadline(base::time_point deadline) const noexcept
{
    return m_begun ? std::min(deadline, m_end.load()) : deadline;
}

} // namespace jasminepier::decision
