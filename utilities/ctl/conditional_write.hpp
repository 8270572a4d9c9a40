/// Conditional writes whose outcome is known before it is reported.
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

/// Writes that are sent at most for one command while the platform does not answer.
inline constexpr int maximum_write_attempts = 5;
inline constexpr std::chrono::milliseconds write_retry_pause{200};

/// Returns true when both texts are the same JSON document; the platform may format it anew.
bool same_document(std::string const& left, std::string const& right);

/// Reads the object after unanswered writes. The outcome is `applied` when the store holds the
/// content that was written; otherwise it stays unknown, since a write may take effect late.
template <store::object_store Store>
store::write_outcome read_back(Store& store, write_action action, store::object const& target)
{
    return base::handle(
        [&]() -> base::result<store::write_outcome>
        {
            BOOST_LEAF_AUTO(held, store.get(target.kind, target.name));
            bool const ours = action != write_action::remove && held.version > target.version &&
                              same_document(held.value, target.value);
            return store::write_outcome{
                ours ? store::write_status::applied : store::write_status::unknown, held};
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

/// Sends the write and, while its outcome is unknown or it was refused, sends the same conditional
/// write again: the condition lets it take effect at most once. A conflict after an unanswered
/// attempt is our own write when the store holds our content. The result is `unknown` only when
/// every attempt stayed without an answer.
template <store::object_store Store>
store::write_outcome write_until_known(Store& store, write_action action,
                                       store::object const& target,
                                       std::chrono::milliseconds pause = write_retry_pause)
{
    bool unanswered = false;
    store::write_outcome outcome;
    for (int attempt = 0; attempt < maximum_write_attempts; ++attempt)
    {
        if (attempt > 0)
            std::this_thread::sleep_for(pause);
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
            bool const ours =
                removed || (action != write_action::remove && !outcome.current.deleted &&
                            same_document(outcome.current.value, target.value));
            if (unanswered && ours)
                outcome.status = store::write_status::applied;
            return outcome;
        }
        unanswered = unanswered || outcome.status == store::write_status::unknown;
    }
    return unanswered ? read_back(store, action, target) : outcome;
}

/// Sends the write and reports the outcome. On a conflict it prints `kind/name`, the version and
/// the content that are in force now.
int write_and_report(context const& current, write_action action, store::object const& target);

/// Reports an outcome; returns the exit status.
int report(context const& current, store::object const& target,
           store::write_outcome const& outcome);

/// Returns `version`, or what the operator gave with --if-version.
inline std::int64_t expected_version(std::optional<std::int64_t> given, std::int64_t version)
{
    return given.value_or(version);
}

} // namespace jasminepier::ctl
