/// The distribution of output lengths of one group of requests.
#pragma once

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace jasminepier::decision
{

/// What is expected after the tokens produced so far; all values are tokens.
struct remaining_length
{
    double mean = 0;
    double variance = 0;
};

/// A histogram of output lengths with logarithmic bins whose counts are halved at intervals, so
/// that old samples lose their weight and a shift of the distribution is followed.
class length_distribution
{
public:
    /// Longer outputs are counted in the last bin.
    static constexpr double longest_output = 131072;
    /// Four bins for each doubling keep the relative error of a length under 10%.
    static constexpr int bins = 68;
    /// Samples after which all counts are halved.
    static constexpr int samples_per_halving = 512;

    length_distribution();

    /// Adds one finished output of `tokens`, with `weight` for priors.
    void add(std::int64_t tokens, float weight = 1);
    /// Returns the probability that an output is longer than `tokens`.
    double survival(double tokens) const;
    /// Returns the number of further tokens that a share `q` of the outputs that have already
    /// produced `produced` tokens do not exceed.
    double remaining_quantile(std::int64_t produced, double q) const;
    /// Returns mean and variance of the further tokens of an output that has produced `produced`.
    remaining_length remaining(std::int64_t produced) const;
    /// Samples seen, without decay.
    std::int64_t samples() const noexcept { return m_samples; }
    std::size_t memory_bytes() const noexcept;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                 boost::histogram::use_default,
                                                 boost::histogram::axis::option::none_t>;
    using histogram =
        boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<float>>;

    void update_tail();

    histogram m_counts;
    /// m_tail[i] is the count of all bins from i on.
    std::array<float, bins + 1> m_tail{};
    std::int64_t m_samples = 0;
};

} // namespace jasminepier::decision
