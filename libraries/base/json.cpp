#include "base/json.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace jasminepier::base
{
namespace
{

template <class T>
result<T> convert(json_object const& object, std::string const& name, bool has_expected_type,
                  std::string_view expected)
{
    if (!has_expected_type)
        return fail(error_kind::bad_request,
                    "member '" + name + "' must be " + std::string(expected));
    try
    {
        return object->getValue<T>(name);
    }
    catch (Poco::Exception const&)
    {
        return fail(error_kind::bad_request, "member '" + name + "' is out of range");
    }
}

bool has_value(json_object const& object, std::string const& name)
{
    return object->has(name) && !object->isNull(name);
}

boost::leaf::error_id missing_member(std::string const& name)
{
    return fail(error_kind::bad_request, "member '" + name + "' is missing");
}

bool is_number(Poco::Dynamic::Var const& value)
{
    return value.isNumeric() && !value.isBoolean() && !value.isString();
}

/// Returns the position behind the string that begins at `begin`, or the end of the text.
std::size_t skip_string(std::string_view text, std::size_t begin)
{
    for (auto i = begin + 1; i < text.size(); ++i)
    {
        if (text[i] == '\\')
            ++i;
        else if (text[i] == '"')
            return i + 1;
    }
    return text.size();
}

std::size_t skip_spaces(std::string_view text, std::size_t begin)
{
    return std::min(text.find_first_not_of(" \t\r\n", begin), text.size());
}

/// Returns the position behind the value that begins at `begin`. Counts brackets instead of calling
/// itself, so that the depth of the value does not matter.
std::size_t skip_value(std::string_view text, std::size_t begin)
{
    std::size_t depth = 0;
    auto i = begin;
    while (i < text.size())
    {
        auto const character = text[i];
        if (character == '"')
        {
            i = skip_string(text, i);
            if (depth == 0)
                return i;
            continue;
        }
        bool const closes = character == '}' || character == ']';
        if (depth == 0 && (closes || character == ','))
            return i;
        if (character == '{' || character == '[')
            ++depth;
        ++i;
        if (closes && --depth == 0)
            return i;
    }
    return i;
}

bool is_readable_value(std::string_view text)
{
    std::string document = "{\"value\":";
    document.append(text).append("}");
    return static_cast<bool>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(parse_json_object(document));
            return true;
        },
        [](error const&) { return false; }));
}

} // namespace

std::string replace_unreadable_members(std::string_view text, std::string_view name)
{
    std::string replaced;
    std::size_t copied = 0;
    for (std::size_t i = 0; i < text.size();)
    {
        if (text[i] != '"')
        {
            ++i;
            continue;
        }
        auto const string_end = skip_string(text, i);
        bool const matches =
            string_end - i == name.size() + 2 && text.substr(i + 1, name.size()) == name;
        i = skip_spaces(text, string_end);
        if (!matches || i >= text.size() || text[i] != ':')
            continue;
        auto const value_begin = skip_spaces(text, i + 1);
        auto const value_end = skip_value(text, value_begin);
        if (!is_readable_value(text.substr(value_begin, value_end - value_begin)))
        {
            replaced.append(text.substr(copied, value_begin - copied)).append("null");
            copied = value_end;
        }
        i = value_end;
    }
    return replaced.append(text.substr(copied));
}

result<json_object> parse_json_object(std::string_view text)
{
    try
    {
        Poco::JSON::Parser parser(new Poco::JSON::ParseHandler);
        parser.setDepth(maximum_json_depth);
        auto document = parser.parse(std::string(text));
        if (document.type() != typeid(json_object))
            return fail(error_kind::bad_request, "the body must be a JSON object");
        return document.extract<json_object>();
    }
    catch (Poco::Exception const& failure)
    {
        return fail(error_kind::bad_request, "invalid JSON: " + failure.message());
    }
    catch (std::exception const& failure)
    {
        return fail(error_kind::bad_request, std::string("invalid JSON: ") + failure.what());
    }
}

std::string write_json(json_object const& object)
{
    std::ostringstream out;
    object->stringify(out);
    return out.str();
}

result<std::string> read_string(json_object const& object, std::string const& name)
{
    if (!has_value(object, name))
        return missing_member(name);
    return convert<std::string>(object, name, object->get(name).isString(), "a string");
}

result<std::int64_t> read_integer(json_object const& object, std::string const& name)
{
    if (!has_value(object, name))
        return missing_member(name);
    auto value = object->get(name);
    return convert<Poco::Int64>(object, name, value.isInteger() && !value.isBoolean(),
                                "an integer");
}

result<double> read_number(json_object const& object, std::string const& name)
{
    if (!has_value(object, name))
        return missing_member(name);
    return convert<double>(object, name, is_number(object->get(name)), "a number");
}

result<json_object> read_object(json_object const& object, std::string const& name)
{
    if (!has_value(object, name))
        return missing_member(name);
    auto member = object->getObject(name);
    if (!member)
        return fail(error_kind::bad_request, "member '" + name + "' must be an object");
    return member;
}

result<std::string> read_string_or(json_object const& object, std::string const& name,
                                   std::string default_value)
{
    if (!has_value(object, name))
        return default_value;
    return read_string(object, name);
}

result<std::int64_t> read_integer_or(json_object const& object, std::string const& name,
                                     std::int64_t default_value)
{
    if (!has_value(object, name))
        return default_value;
    return read_integer(object, name);
}

result<double> read_number_or(json_object const& object, std::string const& name,
                              double default_value)
{
    if (!has_value(object, name))
        return default_value;
    return read_number(object, name);
}

result<bool> read_bool_or(json_object const& object, std::string const& name, bool default_value)
{
    if (!has_value(object, name))
        return default_value;
    return convert<bool>(object, name, object->get(name).isBoolean(), "true or false");
}

result<std::vector<std::string>> read_string_list(json_object const& object,
                                                  std::string const& name)
{
    std::vector<std::string> values;
    if (!has_value(object, name))
        return values;
    auto array = object->getArray(name);
    if (!array)
        return fail(error_kind::bad_request, "member '" + name + "' must be a list of strings");
    for (auto const& item : *array)
    {
        if (!item.isString())
            return fail(error_kind::bad_request, "member '" + name + "' must be a list of strings");
        values.push_back(item.convert<std::string>());
    }
    return values;
}

} // namespace jasminepier::base
