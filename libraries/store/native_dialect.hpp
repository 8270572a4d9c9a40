/// The object API as docs/design.md section 10.3 defines it.
#pragma once

#include "store/object_dialect.hpp"

namespace jasminepier::store
{

/// The dialect of this project's own object API.
struct native_dialect
{
    static store_request get(std::string const& kind, std::string const& name);
    /// This API lists all objects of a kind in one page; `after` is ignored.
    static store_request list(std::string const& kind, std::string const& after);
    static store_request create(object const& new_object);
    static store_request update(object const& changed);
    static store_request remove(object const& existing);
    static store_request watch(std::int64_t version, std::vector<std::string> const& kinds,
                               std::chrono::milliseconds wait);
    static base::result<object> read_object(std::string const& body, std::string const& kind);
    static base::result<object_page> read_list(std::string const& body, std::string const& kind);
    static base::result<object_page> read_events(std::string const& body,
                                                 std::vector<std::string> const& kinds);
    static write_response read_write_status(int status) noexcept;
    /// This API has no epochs.
    static std::int64_t read_epoch(http::header_list const&) noexcept { return 0; }
};

static_assert(object_dialect<native_dialect>);

} // namespace jasminepier::store
