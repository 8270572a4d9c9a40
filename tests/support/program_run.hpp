/// Runs programs until they exit.
#pragma once

#include "tests/support/process.hpp"

namespace jasminepier::tests
{

struct program_result
{
    int status = -1;
    /// Standard output and standard error together.
    std::string output;
};

/// Runs a program of this build until it exits; status -1 if it is still running after a minute.
inline program_result run_program(std::string const& program,
                                  std::vector<std::string> const& arguments)
{
    process child(program, arguments);
    auto const status = child.wait_for_exit(60);
    return {status, child.output()};
}

} // namespace jasminepier::tests
