/// A child process of a test.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminepier::tests
{

/// Starts a program of this build, writes its output to a temporary file, and kills it when
/// destroyed. Only processes that the object itself started are signalled, by id.
class process
{
public:
    /// `environment` holds NAME=VALUE entries beside the inherited ones.
    process(std::string const& program, std::vector<std::string> const& arguments,
            std::vector<std::string> const& environment = {});
    process(process&& other) noexcept;
    process(process const&) = delete;
    process& operator=(process const&) = delete;
    process& operator=(process&&) = delete;
    ~process();

    pid_t id() const noexcept { return m_pid; }
    pid_t pid() const noexcept { return m_pid; }
    void send_signal(int signal) const;
    /// Waits for the end; returns the exit status, 128 + signal, or -1 after `seconds`.
    int wait_for_exit(int seconds);
    bool running();
    /// What the program wrote so far.
    std::string output() const;

private:
    pid_t m_pid = -1;
    int m_status = -1;
    bool m_ended = false;
    std::string m_output_path;
};

} // namespace jasminepier::tests
