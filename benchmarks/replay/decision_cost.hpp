/// Wall-clock cost of decisions, and memory of the decision core's tables.
#pragma once

namespace jasminepier::benchmarks
{

/// Measures and prints nanoseconds per decision at 12 and 2,000 servers, and the heap bytes that a
/// server, a customer and a running generation add.
void print_decision_cost();

} // namespace jasminepier::benchmarks
