/// Runs of programs that end by themselves.
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

/// Runs a program of this build to its end; status -1 after a minute.
inline program_result run_program(std::string const& program,
                                  std::vector<std::string> const& arguments)
{
    process started(program, arguments);
    auto const status = started.wait_for_exit(60);
    return {status, started.output()};
}

} // namespace jasminepier::tests
