#include "metrics/exposition.hpp"

#include <array>
#include <charconv>

namespace jasminepier::metrics
{
namespace
{

void append_escaped(std::string& out, std::string_view value)
{
    for (char c : value)
    {
        if (c == '\\' || c == '"')
            out.append({'\\', c});
        else if (c == '\n')
            out.append("\\n");
        else
            out.push_back(c);
    }
}

void append_labels(std::string& out, std::vector<label> const& labels, label_values const& values,
                   std::string_view bound = {})
{
    char separator = '{';
    for (std::size_t i = 0; i < labels.size(); ++i)
    {
        out.append({separator}).append(labels[i].name).append("=\"");
        append_escaped(out, values[i]);
        out.push_back('"');
        separator = ',';
    }
    if (!bound.empty())
    {
        out.append({separator}).append("le=\"").append(bound).append("\"");
        separator = ',';
    }
    if (separator == ',')
        out.push_back('}');
}

std::string number(double value)
{
    std::array<char, 32> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

void append_head(std::string& out, std::string const& name, std::string const& help,
                 std::string_view type)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name);
    out.append(" ").append(type).append("\n");
}

} // namespace

label_values label_bounds::admit(label_values values)
{
    values.resize(m_labels.size(), std::string(other_value));
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        if (m_seen[i].contains(values[i]))
            continue;
        if (m_seen[i].size() < m_labels[i].maximum_values)
            m_seen[i].insert(values[i]);
        else
            values[i] = other_value;
    }
    return values;
}

void write_family(std::string& out, family<counter> const& source)
{
    append_head(out, source.name(), source.help(), "counter");
    source.for_each(
        [&](label_values const& values, counter const& series)
        {
            out.append(source.name());
            append_labels(out, source.labels(), values);
            out.append(" ").append(std::to_string(series.value())).append("\n");
        });
}

void write_family(std::string& out, family<duration_histogram> const& source,
                  std::span<double const> bounds)
{
    append_head(out, source.name(), source.help(), "histogram");
    source.for_each(
        [&](label_values const& values, duration_histogram const& series)
        {
            std::uint64_t total = 0;
            auto const counts = series.counts();
            for (std::size_t i = 0; i < counts.size(); ++i)
            {
                total += counts[i];
                out.append(source.name()).append("_bucket");
                append_labels(out, source.labels(), values,
                              i < bounds.size() ? number(bounds[i]) : "+Inf");
                out.append(" ").append(std::to_string(total)).append("\n");
            }
            out.append(source.name()).append("_sum");
            append_labels(out, source.labels(), values);
            out.append(" ").append(number(series.sum_seconds())).append("\n");
            out.append(source.name()).append("_count");
            append_labels(out, source.labels(), values);
            // The sum of the buckets, so that the count agrees with them while writers go on.
            out.append(" ").append(std::to_string(total)).append("\n");
        });
}

} // namespace jasminepier::metrics
