/// An in-memory object store with versions, conditional writes and watches.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminepier::stand_ins
{

struct stored_object
{
    std::string kind;
    std::string name;
    std::int64_t version = 0;
    std::string value;
    bool deleted = false;
};

struct write_response
{
    int status = 200;
    std::optional<stored_object> current;
};

/// Expected version of a write that succeeds only if the object does not exist.
inline constexpr std::int64_t must_not_exist = -1;

class memory_store
{
public:
    std::optional<stored_object> get(std::string const& kind, std::string const& name)
    {
        std::lock_guard lock(m_mutex);
        auto const entry = m_objects.find({kind, name});
        if (entry == m_objects.end())
            return std::nullopt;
        return entry->second;
    }

    /// Returns the store's version and the objects of the kind.
    std::pair<std::int64_t, std::vector<stored_object>> list(std::string const& kind)
    {
        std::lock_guard lock(m_mutex);
        std::vector<stored_object> items;
        for (auto const& [key, object] : m_objects)
            if (key.first == kind)
                items.push_back(object);
        return {m_version, items};
    }

    /// Writes the object, or deletes it if `value` is empty. Fails with status 412 and the current
    /// object, if any, unless the object has `expected_version`.
    write_response write(std::string const& kind, std::string const& name,
                         std::int64_t expected_version, std::optional<std::string> value)
    {
        std::lock_guard lock(m_mutex);
        auto const entry = m_objects.find({kind, name});
        auto const stored_version =
            entry == m_objects.end() ? must_not_exist : entry->second.version;
        if (stored_version != expected_version)
        {
            if (entry == m_objects.end())
                return {412, std::nullopt};
            return {412, entry->second};
        }
        stored_object updated{kind, name, ++m_version, value.value_or("{}"), !value.has_value()};
        if (value)
            m_objects[{kind, name}] = updated;
        else
            m_objects.erase(entry);
        m_log.push_back(updated);
        if (m_log.size() > maximum_log_entries)
            m_log.pop_front();
        m_changed.notify_all();
        return {200, updated};
    }

    /// Waits up to `timeout` for changes after `version` whose kind matches, and returns them with
    /// the store's version. Returns nothing if changes after `version` have been dropped from the
    /// log.
    template <class Matches>
    std::optional<std::pair<std::int64_t, std::vector<stored_object>>>
    watch(std::int64_t version, std::chrono::milliseconds timeout, Matches&& matches)
    {
        std::unique_lock lock(m_mutex);
        auto const oldest = m_log.empty() ? m_version : m_log.front().version - 1;
        if (version < oldest)
            return std::nullopt;
        std::vector<stored_object> changes;
        m_changed.wait_for(lock, timeout,
                           [&]
                           {
                               changes.clear();
                               for (auto const& change : m_log)
                                   if (change.version > version && matches(change.kind))
                                       changes.push_back(change);
                               return !changes.empty();
                           });
        return std::pair{m_version, changes};
    }

private:
    static constexpr std::size_t maximum_log_entries = 10000;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, stored_object> m_objects;
    std::deque<stored_object> m_log;
    std::int64_t m_version = 0;
};

} // namespace jasminepier::stand_ins
