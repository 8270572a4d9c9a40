/// Series of one metric, one per combination of label values, bounded in number.
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

/// The label value for everything beyond the bounds.
inline constexpr std::string_view other_value = "other";

struct label
{
    std::string name;
    /// Distinct values that the label may take; further ones become `other`.
    std::size_t maximum_values = 32;
};

using label_values = std::vector<std::string>;

/// Replaces values beyond each label's bound. The first values seen keep their own series.
class label_bounds
{
public:
    explicit label_bounds(std::vector<label> labels)
        : m_labels(std::move(labels)), m_seen(m_labels.size())
    {
    }

    /// Not synchronized.
    label_values admit(label_values values);
    std::vector<label> const& labels() const noexcept { return m_labels; }

private:
    std::vector<label> m_labels;
    std::vector<std::set<std::string>> m_seen;
};

/// Finds series by their label values. `find` takes a lock: call it once per request, keep the
/// reference, and write through that. Series live as long as the family.
template <class Instrument>
class family
{
public:
    /// `arguments` are passed to the constructor of every series.
    template <class... Arguments>
    family(std::string name, std::string help, std::vector<label> labels, Arguments... arguments)
        : m_name(std::move(name)), m_help(std::move(help)), m_bounds(std::move(labels)),
          m_make([arguments...] { return std::make_unique<Instrument>(arguments...); })
    {
    }

    Instrument& with_labels(label_values values)
    {
        std::lock_guard lock(m_mutex);
        auto& series = m_series[m_bounds.admit(std::move(values))];
        if (!series)
            series = m_make();
        return *series;
    }

    /// Calls `visit(label_values const&, Instrument const&)` for every series.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        std::lock_guard lock(m_mutex);
        for (auto const& [values, series] : m_series)
            visit(values, *series);
    }

    std::string const& name() const noexcept { return m_name; }
    std::string const& help() const noexcept { return m_help; }
    std::vector<label> const& labels() const noexcept { return m_bounds.labels(); }

private:
    std::string m_name;
    std::string m_help;
    mutable base::ordered_mutex<base::lock_level::metrics> m_mutex;
    label_bounds m_bounds;
    std::function<std::unique_ptr<Instrument>()> m_make;
    std::map<label_values, std::unique_ptr<Instrument>> m_series;
};

} // namespace jasminepier::metrics
