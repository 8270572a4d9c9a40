#include "utilities/ctl/table.hpp"

#include "base/json.hpp"

#include <algorithm>
#include <ostream>

namespace jasminepier::ctl
{
namespace
{

void write_json_table(std::ostream& out, table const& content)
{
    base::json_array items = new Poco::JSON::Array;
    for (auto const& row : content.rows)
    {
        base::json_object item = new Poco::JSON::Object;
        for (std::size_t i = 0; i < row.size(); ++i)
            item->set(content.columns[i], row[i]);
        items->add(item);
    }
    base::json_object document = new Poco::JSON::Object;
    document->set("items", items);
    out << base::write_json(document) << '\n';
}

/// Replaces control characters, since names come from the store and could otherwise send escape
/// sequences to the terminal. Empty text becomes "-".
std::string to_printable(std::string const& text)
{
    std::string printable_text = text.empty() ? "-" : text;
    for (char& c : printable_text)
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = '?';
    return printable_text;
}

void write_row(std::ostream& out, std::vector<std::string> const& row,
               std::vector<std::size_t> const& widths)
{
    for (std::size_t i = 0; i < row.size(); ++i)
    {
        auto const text = to_printable(row[i]);
        out << text;
        if (i + 1 < row.size())
            out << std::string(widths[i] - text.size() + 2, ' ');
    }
    out << '\n';
}

} // namespace

void write_table(std::ostream& out, output_format format, table const& content)
{
    if (format == output_format::json)
        return write_json_table(out, content);
    std::vector<std::size_t> widths;
    for (auto const& column : content.columns)
        widths.push_back(column.size());
    for (auto const& row : content.rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], to_printable(row[i]).size());
    write_row(out, content.columns, widths);
    for (auto const& row : content.rows)
        write_row(out, row, widths);
}

} // namespace jasminepier::ctl
