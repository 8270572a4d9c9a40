/// A metric family: one time series per combination of label values, limited in number.
#pragma once

#include "base/ordered_mutex.hpp"
#include "metrics/instruments.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::metrics
{

/// Replaces label values that exceed the limit of their label.
inline constexpr std::string_view overflow_value = "other";

struct label
{
    std::string name;
    /// Maximum number of distinct values; further ones are replaced by `other`.
    std::size_t maximum_values = 32;
};

using label_values = std::vector<std::string>;

/// Limits the number of distinct values per label: the first `maximum_values` are kept, further
/// ones are replaced by `other`. Not thread-safe.
class label_value_limiter
{
public:
    explicit label_value_limiter(std::vector<label> labels)
        : m_labels(std::move(labels)), m_known_values(m_labels.size())
    {
    }

    /// Returns `values` with those that exceed the limit replaced. Missing values become `other`.
    label_values limit_values(label_values values);
    std::vector<label> const& labels() const noexcept { return m_labels; }

private:
    std::vector<label> m_labels;
    std::vector<std::set<std::string>> m_known_values;
};

/// All series of one metric. Thread-safe. `with_labels` takes a lock: call it once per request and
/// write through the returned reference, which is valid as long as the family.
template <class Instrument>
class family
{
public:
    /// `arguments` are passed to the constructor of each series.
    template <class... Arguments>
    family(std::string name, std::string help, std::vector<label> labels, Arguments... arguments)
        : m_name(std::move(name)), m_help(std::move(help)), m_limiter(std::move(labels)),
          m_create_series([arguments...] { return std::make_unique<Instrument>(arguments...); })
    {
    }

    /// Returns the series with these label values and creates it if necessary.
    Instrument& with_labels(label_values values)
    {
        std::lock_guard lock(m_mutex);
        auto& series = m_series[m_limiter.limit_values(std::move(values))];
        if (!series)
            series = m_create_series();
        return *series;
    }

    /// Calls `visit(label_values const&, Instrument const&)` for each series, under the lock.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        std::lock_guard lock(m_mutex);
        for (auto const& [values, series] : m_series)
            visit(values, *series);
    }

    std::string const& name() const noexcept { return m_name; }
    std::string const& help() const noexcept { return m_help; }
    std::vector<label> const& labels() const noexcept { return m_limiter.labels(); }

private:
    std::string m_name;
    std::string m_help;
    mutable base::ordered_mutex<base::lock_level::metrics> m_mutex;
    label_value_limiter m_limiter;
    std::function<std::unique_ptr<Instrument>()> m_create_series;
    std::map<label_values, std::unique_ptr<Instrument>> m_series;
};

} // namespace jasminepier::metrics
