/// Conditional writes, retried until their outcome is known.
#pragma once

#include "store/object.hpp"
#include "utilities/ctl/command_line.hpp"

#include <chrono>
#include <optional>
#include <thread>

namespace jasminepier::ctl
{

enum class write_action
{
    create,
    update,
    remove,
};

/// Maximum attempts per command while the platform doesn't respond or refuses the write.
inline constexpr int maximum_write_attempts = 5;
inline constexpr std::chrono::milliseconds write_retry_delay{200};

/// Returns true if both texts are the same JSON document, since the platform may reformat it.
bool is_same_json(std::string const& left, std::string const& right);

/// Reads the object after attempts without a response. The outcome is `applied` if the store holds
/// the written content, or no object after a removal; otherwise it stays `unknown`, since a write
/// may still take effect later.
template <store::object_store Store>
store::write_outcome resolve_unknown_outcome(Store& store, write_action action,
                                             store::object const& target)
{
    return base::handle(
        [&]() -> base::result<store::write_outcome>
        {
            BOOST_LEAF_AUTO(stored, store.get(target.kind, target.name));
            bool const is_own_write = action != write_action::remove &&
                                      stored.version > target.version &&
                                      is_same_json(stored.value, target.value);
            return store::write_outcome{
                is_own_write ? store::write_status::applied : store::write_status::unknown, stored};
        },
        [&](base::error const& failure)
        {
            store::write_outcome outcome;
            outcome.current = target;
            outcome.current.deleted = true;
            if (failure.kind == base::error_kind::not_found && action == write_action::remove)
                outcome.status = store::write_status::applied;
            return outcome;
        });
}

/// Sends a conditional write and retries it while the platform refuses it or the outcome is
/// unknown. The condition makes retries safe: the write takes effect at most once. A conflict after
/// an attempt without a response counts as `applied` if the store holds the written content, or no
/// object after a removal. If the attempts run out and any outcome was unknown, the object is read
/// back (see resolve_unknown_outcome).
template <store::object_store Store>
store::write_outcome write_with_retries(Store& store, write_action action,
                                        store::object const& target,
                                        std::chrono::milliseconds delay = write_retry_delay)
{
    bool has_unknown_attempt = false;
    store::write_outcome outcome;
    for (int attempt = 0; attempt < maximum_write_attempts; ++attempt)
    {
        if (attempt > 0)
            std::this_thread::sleep_for(delay);
        if (action == write_action::create)
            outcome = store.create(target.kind, target.name, target.value);
        else
            outcome = action == write_action::update ? store.update(target) : store.remove(target);
        if (outcome.status == store::write_status::applied)
        {
            outcome.current.deleted = action == write_action::remove;
            return outcome;
        }
        if (outcome.status == store::write_status::conflict)
        {
            bool const removed = action == write_action::remove && outcome.current.deleted;
            bool const is_own_write =
                removed || (action != write_action::remove && !outcome.current.deleted &&
                            is_same_json(outcome.current.value, target.value));
            if (has_unknown_attempt && is_own_write)
                outcome.status = store::write_status::applied;
            return outcome;
        }
        has_unknown_attempt = has_unknown_attempt || outcome.status == store::write_status::unknown;
    }
    return has_unknown_attempt ? resolve_unknown_outcome(store, action, target) : outcome;
}

/// Sends the write and reports the outcome. On a conflict it prints `kind/name`, and the version
/// and content now in force.
int write_and_report(tool_settings const& settings, write_action action,
                     store::object const& target);

/// Prints the outcome of a write and returns the exit status.
int report_outcome(tool_settings const& settings, store::object const& target,
                   store::write_outcome const& outcome);

/// Returns the version given with --if-version, or the stored version without the flag.
inline std::int64_t expected_version(std::optional<std::int64_t> requested,
                                     std::int64_t stored_version)
{
    return requested.value_or(stored_version);
}

} // namespace jasminepier::ctl
