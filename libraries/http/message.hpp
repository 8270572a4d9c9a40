/// HTTP/1.1 requests and responses as values.
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

/// Header fields in the order in which they were received. Names are case-insensitive.
class header_list
{
public:
    void add(std::string_view name, std::string_view value)
    {
        m_fields.push_back({std::string(name), std::string(value)});
    }
    /// Replaces all fields with this name by a single one.
    void set(std::string_view name, std::string_view value)
    {
        remove(name);
        add(name, value);
    }
    void remove(std::string_view name)
    {
        std::erase_if(m_fields, [&](auto const& field) { return equal(field.name, name); });
    }
    /// Returns the value of the first field with this name.
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

    /// Compares two field names or tokens, ignoring ASCII case.
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
    /// Path and query as received, not decoded.
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

/// Returns true for hop-by-hop and message framing fields, which a proxy must not forward.
/// `connection_value` is the value of the message's Connection field, which may list further names.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value);

/// Serializes a request including its body. Adds Content-Length.
std::string write_request(request const& message);

/// Bodies up to this size are copied behind their head; a second system call would cost more.
inline constexpr std::size_t maximum_copied_body_bytes = std::size_t{16} * 1024;

/// A serialized request to send.
struct outgoing_request
{
    /// The head, and the body if it is short.
    std::string bytes;
    /// The rest of a long body, which its owner keeps until the request has been sent.
    std::string_view rest;

    std::size_t size() const noexcept { return bytes.size() + rest.size(); }
};

/// Serializes a request with the head of `message` and `body`, which isn't copied if it is long.
/// Adds Content-Length.
outgoing_request make_outgoing(request const& message, std::string_view body);

/// Serializes the status line, the header fields and the blank line after them. `headers` must
/// already contain the framing fields. An empty `reason` stands for the default phrase.
std::string write_response_head(int status, std::string_view reason, header_list const& headers);

/// Returns the standard reason phrase for a status code.
std::string_view default_reason_phrase(int status) noexcept;

} // namespace jasminepier::http
