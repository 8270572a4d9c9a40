#include "store/native_dialect.hpp"

#include "base/json.hpp"
#include "store/response_parsing.hpp"

#include <Poco/URI.h>

namespace jasminepier::store
{
namespace
{

std::string object_path(std::string const& kind, std::string const& name)
{
    std::string encoded;
    Poco::URI::encode(name, "/?#%", encoded);
    return "/objects/" + kind + "/" + encoded;
}

} // namespace

store_request native_dialect::get(std::string const& kind, std::string const& name)
{
    return {"GET", object_path(kind, name), "", "", ""};
}

store_request native_dialect::list(std::string const& kind, std::string const&)
{
    return {"GET", "/objects/" + kind, "", "", ""};
}

store_request native_dialect::create(object const& new_object)
{
    return {"PUT", object_path(new_object.kind, new_object.name), "If-None-Match", "*",
            new_object.value};
}

store_request native_dialect::update(object const& changed)
{
    return {"PUT", object_path(changed.kind, changed.name), "If-Match",
            std::to_string(changed.version), changed.value};
}

store_request native_dialect::remove(object const& existing)
{
    return {"DELETE", object_path(existing.kind, existing.name), "If-Match",
            std::to_string(existing.version), ""};
}

store_request native_dialect::watch(std::int64_t version, std::vector<std::string> const& kinds,
                                    std::chrono::milliseconds wait)
{
    std::string joined;
    for (auto const& kind : kinds)
        joined += (joined.empty() ? "" : ",") + kind;
    return {"GET",
            "/objects?watch_from=" + std::to_string(version) + "&kinds=" + joined +
                "&timeout_seconds=" + std::to_string(wait.count() / 1000),
            "", "", ""};
}

base::result<object> native_dialect::read_object(std::string const& body, std::string const&)
{
    BOOST_LEAF_AUTO(document, base::parse_json_object(body));
    return parse_object(document);
}

base::result<object_page> native_dialect::read_list(std::string const& body, std::string const&)
{
    return parse_page(body, page_kind::list);
}

base::result<object_page> native_dialect::read_events(std::string const& body,
                                                      std::vector<std::string> const&)
{
    return parse_page(body, page_kind::events);
}

write_response native_dialect::read_write_status(int status) noexcept
{
    switch (status)
    {
    case 200:
        return write_response::applied;
    case 412:
        return write_response::conflict;
    case 429:
    case 503:
        return write_response::refused;
    default:
        return write_response::unknown;
    }
}

} // namespace jasminepier::store
