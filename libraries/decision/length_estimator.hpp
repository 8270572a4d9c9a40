/// Output lengths, learned per customer, model and work kind.
#pragma once

#include "configuration/types.hpp"
#include "decision/length_distribution.hpp"

#include <cstdint>
#include <unordered_map>

namespace jasminepier::decision
{

/// The group of a request, with interned ids.
struct length_key
{
    std::uint32_t customer = 0;
    std::uint32_t model = 0;
    configuration::work_kind kind = configuration::work_kind::question;
};

class length_estimator
{
public:
    /// With fewer samples a group's histogram is too noisy, so the next wider group is used.
    static constexpr std::int64_t minimum_samples = 32;

    length_estimator();

    /// Adds a finished output.
    void observe(length_key const& key, std::int64_t tokens);
    /// Returns the narrowest distribution with enough samples: of the customer's requests with this
    /// model and kind, of all requests with this model and kind, or the prior of the kind.
    length_distribution const& distribution(length_key const& key) const;
    std::size_t memory_bytes() const noexcept;
    std::size_t groups() const noexcept { return m_by_customer.size(); }

private:
    std::unordered_map<std::uint64_t, length_distribution> m_by_customer;
    std::unordered_map<std::uint64_t, length_distribution> m_by_model;
    std::array<length_distribution, configuration::work_kind_count> m_priors;
};

} // namespace jasminepier::decision
