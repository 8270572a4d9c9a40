#include "store/response_parsing.hpp"

namespace jasminepier::store
{

using base::error_kind;

base::result<object> parse_object(base::json_object const& source)
{
    object parsed;
    BOOST_LEAF_AUTO(kind, base::read_string(source, "kind"));
    BOOST_LEAF_AUTO(name, base::read_string(source, "name"));
    BOOST_LEAF_AUTO(version, base::read_integer(source, "version"));
    parsed.kind = kind;
    parsed.name = name;
    parsed.version = version;
    if (source->has("value") && source->getObject("value"))
        parsed.value = base::write_json(source->getObject("value"));
    return parsed;
}

base::result<base::json_object> parse_response(std::string const& body,
                                               std::string const& value_member)
{
    auto document = base::handle([&] { return base::parse_json_object(body); },
                                 [](base::error const&) { return base::json_object{}; });
    if (document)
        return document;
    return base::parse_json_object(base::replace_unreadable_members(body, value_member));
}

base::result<object_page> parse_page(std::string const& body, page_kind kind)
{
    bool const is_event = kind == page_kind::events;
    std::string const member = is_event ? "events" : "items";
    BOOST_LEAF_AUTO(document, parse_response(body, "value"));
    object_page page;
    BOOST_LEAF_AUTO(version, base::read_integer(document, "version"));
    page.version = version;
    auto entries = document->getArray(member);
    if (!entries)
        return base::fail(error_kind::platform_unavailable,
                          "the platform's response has no member " + member);
    for (std::size_t i = 0; i < entries->size(); ++i)
    {
        auto entry = entries->getObject(static_cast<unsigned>(i));
        if (!entry)
            return base::fail(error_kind::platform_unavailable,
                              "an entry of the platform's response is not an object");
        auto body_object = is_event ? entry->getObject("object") : entry;
        if (!body_object)
            return base::fail(error_kind::platform_unavailable,
                              "an event of the platform has no member 'object'");
        BOOST_LEAF_AUTO(parsed, parse_object(body_object));
        parsed.deleted = is_event && entry->optValue<std::string>("type", "") == "delete";
        page.objects.push_back(std::move(parsed));
    }
    return page;
}

} // namespace jasminepier::store
