/// HTTP/1.1 messages as values.
#pragma once

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::http
{

struct header_field
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received. Names compare without case.
class header_list
{
public:
    void add(std::string_view name, std::string_view value)
    {
        m_fields.push_back({std::string(name), std::string(value)});
    }
    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string_view value)
    {
        remove(name);
        add(name, value);
    }
    void remove(std::string_view name)
    {
        std::erase_if(m_fields, [&](auto const& field) { return equal(field.name, name); });
    }
    /// Returns the first value of that name.
    std::optional<std::string_view> find(std::string_view name) const
    {
        for (auto const& field : m_fields)
            if (equal(field.name, name))
                return field.value;
        return std::nullopt;
    }
    std::size_t count(std::string_view name) const
    {
        return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(),
                                                      [&](auto const& field)
                                                      { return equal(field.name, name); }));
    }
    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

    /// Compares two header names or tokens without case.
    static bool equal(std::string_view left, std::string_view right) noexcept
    {
        return left.size() == right.size() &&
               std::equal(left.begin(), left.end(), right.begin(),
                          [](unsigned char a, unsigned char b)
                          { return std::tolower(a) == std::tolower(b); });
    }

private:
    std::vector<header_field> m_fields;
};

struct request
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    header_list headers;
    std::string body;
    bool keep_alive = true;

    std::string_view path() const noexcept
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

struct response
{
    int status = 0;
    std::string reason;
    header_list headers;
    std::string body;
};

/// Returns true for fields that concern one connection only and are not forwarded, the framing
/// fields included. `connection_value` is the message's Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value);

/// Writes a request with its whole body.
std::string write_request(request const& message);

/// Writes status line and header fields with the blank line. The caller adds framing fields.
std::string write_response_head(int status, std::string_view reason, header_list const& headers);

/// Returns the customary reason of a status.
std::string_view reason_of(int status) noexcept;

} // namespace jasminepier::http
