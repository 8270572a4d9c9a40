/// Distribution of output lengths in one group of requests.
#pragma once

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace jasminepier::decision
{

/// Mean and variance of the number of further output tokens.
struct remaining_length
{
    double mean = 0;
    double variance = 0;
};

/// A histogram of output lengths with logarithmic bins. The counts decay by halving at regular
/// intervals, so the histogram follows a shift of the distribution.
class length_distribution
{
public:
    /// Longer outputs count in the last bin.
    static constexpr double maximum_output_tokens = 131072;
    /// Four bins for each doubling keep the relative error of a length under 10%.
    static constexpr int bins = 68;
    /// Samples after which all counts are halved.
    static constexpr int samples_per_halving = 512;

    length_distribution();

    /// Adds a finished output of `tokens`. Priors use weights other than 1, which don't count as
    /// samples.
    void add(std::int64_t tokens, float weight = 1);
    /// Returns the probability that an output is longer than `tokens`.
    double survival(double tokens) const;
    /// Returns the `fraction` quantile of the number of further tokens, among outputs that have
    /// already produced `produced` tokens.
    double remaining_quantile(std::int64_t produced, double fraction) const;
    /// Returns the mean and variance of the further tokens of an output that has already produced
    /// `produced` tokens.
    remaining_length remaining(std::int64_t produced) const;
    /// Returns the number of samples added, without decay.
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
    /// m_tail[i] is the sum of the counts of bin i and all higher bins.
    std::array<float, bins + 1> m_tail{};
    std::int64_t m_samples = 0;
};

} // namespace jasminepier::decision
