/// HTTP client of the platform's object API.
#pragma once

#include "base/json.hpp"
#include "store/native_dialect.hpp"
#include "store/object.hpp"
#include "store/object_dialect.hpp"
#include "store/object_version.hpp"
#include "store/store_connection.hpp"

#include <chrono>

namespace jasminepier::store
{

/// Client of an object API. Every request uses its own connection, so threads may share an
/// instance. Satisfies `object_store` for every dialect.
template <object_dialect Dialect>
class basic_http_object_store
{
public:
    explicit basic_http_object_store(http_object_store_settings settings)
        : m_settings(std::move(settings))
    {
    }

    /// Fails with not_found, rate_limited or platform_unavailable.
    base::result<object> get(std::string const& kind, std::string const& name)
    {
        BOOST_LEAF_AUTO(response, perform_request(m_settings, Dialect::get(kind, name),
                                                  m_settings.call_timeout));
        if (response.status != 200)
            return base::fail(error_kind_for_status(response.status),
                              "cannot read " + kind + "/" + name);
        BOOST_LEAF_AUTO(found, Dialect::read_object(response.body, kind));
        set_epoch(found, Dialect::read_epoch(response.headers));
        return found;
    }

    /// Returns the objects of all pages with the version of the first page. A watch from that
    /// version reports every change made while the later pages were read.
    base::result<object_page> list(std::string const& kind)
    {
        object_page all_pages;
        std::string after;
        std::size_t received_bytes = 0;
        for (bool first = true;; first = false)
        {
            BOOST_LEAF_AUTO(response, perform_request(m_settings, Dialect::list(kind, after),
                                                      m_settings.call_timeout));
            if (response.status != 200)
                return base::fail(error_kind_for_status(response.status), "cannot list " + kind);
            BOOST_LEAF_AUTO(page, Dialect::read_list(response.body, kind));
            auto const epoch = Dialect::read_epoch(response.headers);
            set_epoch(page, epoch);
            if (first)
                all_pages.version = page.version;
            if (epoch != epoch_of(all_pages.version))
                return base::fail(base::error_kind::platform_unavailable,
                                  "the store was restored while " + kind + " was listed");
            for (auto& item : page.objects)
                all_pages.objects.push_back(std::move(item));
            if (!page.next_after)
                return all_pages;
            received_bytes += response.body.size();
            if (*page.next_after == after || received_bytes > maximum_response_bytes)
                return base::fail(base::error_kind::platform_unavailable,
                                  "the list of " + kind + " does not end");
            after = *page.next_after;
        }
    }

    /// Creates the object if no object of that name exists.
    write_outcome create(std::string const& kind, std::string const& name, std::string const& value)
    {
        object const new_object{kind, name, 0, value, false};
        return write(Dialect::create(new_object), new_object);
    }
    /// Replaces the value if the stored version is still `changed.version`.
    write_outcome update(object const& changed)
    {
        return write(Dialect::update(without_epoch(changed)), changed);
    }
    /// Replaces the object's status, which `changed.value` holds, under the same condition. Only
    /// for dialects whose objects have a status.
    write_outcome update_status(object const& changed)
    {
        return write(Dialect::update_status(without_epoch(changed)), changed);
    }
    /// Deletes the object if the stored version is still `existing.version`.
    write_outcome remove(object const& existing)
    {
        return write(Dialect::remove(without_epoch(existing)), existing);
    }

    /// Waits until an object of `kinds` changes after `version` and returns the changes, or an
    /// empty page after the watch timeout. Fails with conflict if the store no longer has the
    /// changes since `version`, also because it was restored from a copy.
    base::result<object_page> watch(std::int64_t version, std::vector<std::string> const& kinds)
    {
        return watch(version, kinds, m_settings.watch_timeout);
    }

    /// Same as above with a given wait. Polls `is_cancelled` and fails with platform_unavailable if
    /// it returns true.
    base::result<object_page> watch(std::int64_t version, std::vector<std::string> const& kinds,
                                    std::chrono::milliseconds wait,
                                    std::function<bool()> const& is_cancelled = {})
    {
        BOOST_LEAF_AUTO(response, perform_request(m_settings,
                                                  Dialect::watch(revision_of(version), kinds, wait),
                                                  wait + m_settings.watch_margin, is_cancelled));
        auto const epoch = Dialect::read_epoch(response.headers);
        if (response.status != 200)
            return base::fail(error_kind_for_status(response.status),
                              "the platform refused the watch");
        BOOST_LEAF_AUTO(page, Dialect::read_events(response.body, kinds));
        // The revision may have been given out again, so changes before it may be unknown.
        if (epoch != epoch_of(version))
            return base::fail(base::error_kind::conflict, "the store was restored from a copy");
        set_epoch(page, epoch);
        return page;
    }

private:
    static void set_epoch(object& target, std::int64_t epoch)
    {
        target.version = make_version(epoch, target.version);
    }
    static void set_epoch(object_page& page, std::int64_t epoch)
    {
        page.version = make_version(epoch, page.version);
        for (auto& item : page.objects)
            set_epoch(item, epoch);
    }
    static object without_epoch(object const& source)
    {
        auto copy = source;
        copy.version = revision_of(source.version);
        return copy;
    }

    write_outcome write(store_request const& request, object const& target)
    {
        auto send_write = [&]() -> base::result<write_outcome>
        {
            BOOST_LEAF_AUTO(response,
                            perform_request(m_settings, request, m_settings.call_timeout));
            write_outcome outcome;
            auto const result = Dialect::read_write_status(response.status);
            if (result == write_response::refused)
                outcome.status = write_status::refused;
            if (result != write_response::applied && result != write_response::conflict)
                return outcome;
            outcome.status =
                result == write_response::applied ? write_status::applied : write_status::conflict;
            outcome.current = base::handle(
                [&]() -> base::result<object>
                {
                    BOOST_LEAF_AUTO(stored, Dialect::read_object(response.body, target.kind));
                    set_epoch(stored, Dialect::read_epoch(response.headers));
                    return stored;
                },
                [&](base::error const&)
                {
                    // A response without the object means that it does not exist.
                    auto absent = target;
                    absent.deleted = true;
                    return absent;
                });
            return outcome;
        };
        // After any failure, a malformed response included, the request may have been sent, so
        // whether the write took effect is unknown.
        return base::handle(send_write, [](base::error const&) { return write_outcome{}; });
    }

    http_object_store_settings m_settings;
};

using http_object_store = basic_http_object_store<native_dialect>;

static_assert(object_store<http_object_store>);

} // namespace jasminepier::store
