/// Prints lists as aligned columns or as JSON.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jasminepier::ctl
{

enum class output_format
{
    table,
    json,
};

struct table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// Writes the table as aligned columns, or as the JSON object {"items":[{column: value}]}.
void write_table(std::ostream& out, output_format format, table const& content);

} // namespace jasminepier::ctl
