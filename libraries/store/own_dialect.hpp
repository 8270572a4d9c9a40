/// The object API as docs/design.md section 10.3 defines it.
#pragma once

#include "store/object_dialect.hpp"

namespace jasminepier::store
{

struct own_dialect
{
    static store_call get(std::string const& kind, std::string const& name);
    /// This API lists a kind as a whole; `after` is not used.
    static store_call list(std::string const& kind, std::string const& after);
    static store_call create(object const& added);
    static store_call update(object const& changed);
    static store_call remove(object const& existing);
    static store_call watch(std::int64_t version, std::vector<std::string> const& kinds,
                            std::chrono::milliseconds wait);
    static base::result<object> read_object(std::string const& body, std::string const& kind);
    static base::result<object_page> read_list(std::string const& body, std::string const& kind);
    static base::result<object_page> read_events(std::string const& body,
                                                 std::vector<std::string> const& kinds);
    static write_answer read_write_status(int status) noexcept;
};

static_assert(object_dialect<own_dialect>);

} // namespace jasminepier::store
