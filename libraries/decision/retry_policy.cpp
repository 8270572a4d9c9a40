#include "decision/retry_policy.hpp"

#include <array>
#include <optional>

namespace jasminepier::decision
{
namespace
{

using configuration::work_kind;
using enum attempt_failure;
using enum delivery_progress;
using enum retry_action;

/// A missing member matches every value. The first matching rule applies.
struct rule
{
    std::optional<work_kind> kind;
    std::optional<attempt_failure> failure;
    std::optional<delivery_progress> progress;
    retry_action action;
};

constexpr std::array rules{
    // A non-idempotent call is retried only if no byte of it was sent.
    rule{work_kind::action, not_connected, {}, rerun},
    rule{work_kind::action, declined, {}, report_not_run},
    rule{work_kind::action, rejected, {}, report_rejected},
    rule{work_kind::action, {}, {}, report_unknown},
    rule{work_kind::lookup, rejected, {}, report_rejected},
    rule{work_kind::lookup, {}, nothing_delivered, rerun},
    rule{work_kind::lookup, {}, partly_delivered, report_unknown},
    // Generations: a lost or silent connection doesn't mean that the engine is down, so resume.
    rule{{}, connection_lost, {}, resume},
    rule{{}, silent, {}, resume},
    rule{{}, rejected, nothing_delivered, report_rejected},
    rule{{}, {}, nothing_delivered, rerun},
    rule{work_kind::proposal, {}, partly_delivered, verified_replay},
    rule{{}, {}, partly_delivered, report_unknown},
};

constexpr std::optional<retry_action> find_action(work_kind kind, attempt_failure failure,
                                                  delivery_progress progress)
{
    for (auto const& candidate : rules)
        if (candidate.kind.value_or(kind) == kind &&
            candidate.failure.value_or(failure) == failure &&
            candidate.progress.value_or(progress) == progress)
            return candidate.action;
    return std::nullopt;
}

constexpr bool covers_every_combination()
{
    for (std::size_t kind = 0; kind < configuration::work_kind_count; ++kind)
        for (std::size_t failure = 0; failure < attempt_failure_count; ++failure)
            for (std::size_t progress = 0; progress < delivery_progress_count; ++progress)
                if (!find_action(static_cast<work_kind>(kind),
                                 static_cast<attempt_failure>(failure),
                                 static_cast<delivery_progress>(progress)))
                    return false;
    return true;
}
static_assert(covers_every_combination());

constexpr std::array<std::string_view, attempt_failure_count> failure_names{
    "not_connected", "declined",        "rejected",       "connection_lost",
    "silent",        "sequence_broken", "generation_gone"};
constexpr std::array<std::string_view, 6> action_names{
    "rerun", "resume", "verified_replay", "report_not_run", "report_unknown", "report_rejected"};

} // namespace

retry_action retry_action_for(work_kind kind, attempt_failure failure,
                              delivery_progress progress) noexcept
{
    return find_action(kind, failure, progress).value_or(report_unknown);
}

std::string_view to_string(attempt_failure failure) noexcept
{
    return failure_names[static_cast<std::size_t>(failure)];
}

std::string_view to_string(retry_action action) noexcept
{
    return action_names[static_cast<std::size_t>(action)];
}

} // namespace jasminepier::decision
