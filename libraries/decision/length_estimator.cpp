#include "decision/length_estimator.hpp"

#include <cmath>

namespace jasminepier::decision
{
namespace
{

std::uint64_t model_key(length_key const& key)
{
    return (static_cast<std::uint64_t>(key.model) << 3) | static_cast<std::uint64_t>(key.kind);
}

/// The model and kind take the lower 24 bits, the customer the rest.
std::uint64_t customer_key(length_key const& key)
{
    return (static_cast<std::uint64_t>(key.customer) << 24) | model_key(key);
}

/// Builds a log-normal prior around `median` tokens that covers a factor of four in both
/// directions.
length_distribution make_prior(double median)
{
    constexpr double deviation = 1.0;
    length_distribution prior;
    for (double z = -2; z <= 2; z += 0.25)
        prior.add(static_cast<std::int64_t>(median * std::exp(z * deviation)),
                  static_cast<float>(std::exp(-z * z / 2)));
    return prior;
}

} // namespace

length_estimator::length_estimator()
    : m_priors{make_prior(800), make_prior(80), make_prior(400), make_prior(1), make_prior(1)}
{
}

void length_estimator::observe(length_key const& key, std::int64_t tokens)
{
    m_by_customer[customer_key(key)].add(tokens);
    m_by_model[model_key(key)].add(tokens);
}

length_distribution const& length_estimator::distribution(length_key const& key) const
{
    auto const customer = m_by_customer.find(customer_key(key));
    if (customer != m_by_customer.end() && customer->second.samples() >= minimum_samples)
        return customer->second;
    auto const model = m_by_model.find(model_key(key));
    if (model != m_by_model.end() && model->second.samples() >= minimum_samples)
        return model->second;
    return m_priors[static_cast<std::size_t>(key.kind)];
}

std::size_t length_estimator::memory_bytes() const noexcept
{
    return (m_by_customer.size() + m_by_model.size()) *
           (sizeof(length_distribution) + length_distribution::bins * sizeof(float) + 32);
}

} // namespace jasminepier::decision
