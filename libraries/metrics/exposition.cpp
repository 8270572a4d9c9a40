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
                   std::string_view upper_bound = {})
{
    char separator = '{';
    for (std::size_t i = 0; i < labels.size(); ++i)
    {
        out.append({separator}).append(labels[i].name).append("=\"");
        append_escaped(out, values[i]);
        out.push_back('"');
        separator = ',';
    }
    if (!upper_bound.empty())
    {
        out.append({separator}).append("le=\"").append(upper_bound).append("\"");
        separator = ',';
    }
    if (separator == ',')
        out.push_back('}');
}

std::string format_number(double value)
{
    std::array<char, 32> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

void append_header(std::string& out, std::string const& name, std::string const& help,
                   std::string_view type)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name);
    out.append(" ").append(type).append("\n");
}

} // namespace

label_values label_value_limiter::limit_values(label_values values)
{
    values.resize(m_labels.size(), std::string(overflow_value));
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        if (m_known_values[i].contains(values[i]))
            continue;
        if (m_known_values[i].size() < m_labels[i].maximum_values)
            m_known_values[i].insert(values[i]);
        else
            values[i] = overflow_value;
    }
    return values;
}

void write_family(std::string& out, family<counter> const& source)
{
    append_header(out, source.name(), source.help(), "counter");
    source.for_each(
        [&](label_values const& values, counter const& series)
        {
            out.append(source.name());
            append_labels(out, source.labels(), values);
            out.append(" ").append(std::to_string(series.value())).append("\n");
        });
}

void write_family(std::string& out, family<duration_histogram> const& source,
                  std::span<double const> upper_bounds)
{
    append_header(out, source.name(), source.help(), "histogram");
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
                              i < upper_bounds.size() ? format_number(upper_bounds[i]) : "+Inf");
                out.append(" ").append(std::to_string(total)).append("\n");
            }
            out.append(source.name()).append("_sum");
            append_labels(out, source.labels(), values);
            out.append(" ").append(format_number(series.sum_seconds())).append("\n");
            out.append(source.name()).append("_count");
            append_labels(out, source.labels(), values);
            // The sum of the buckets read above, so that the count agrees with them although other
            // threads keep observing.
            out.append(" ").append(std::to_string(total)).append("\n");
        });
}

} // namespace jasminepier::metrics
