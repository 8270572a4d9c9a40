/// Child processes of a test.
#pragma once

#include <chrono>
#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminepier::tests
{

/// Starts a program of this build, writes its output to a temporary file, and kills it on
/// destruction. Signals only the process that it started, by id.
class process
{
public:
    /// `environment` contains NAME=VALUE entries in addition to the inherited ones.
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
    /// Waits until the process exits. Returns its exit status, 128 + the number of the signal that
    /// killed it, or -1 if it has not exited after `seconds`.
    int wait_for_exit(int seconds);
    bool running();
    /// Returns the processor time that the process has used.
    std::chrono::milliseconds processor_time() const;
    /// Returns true if the program's main thread has blocked the signal, as programs do that wait
    /// for it. False between the start of the process and the program's first statements.
    bool has_blocked(int signal) const;
    /// Returns the standard output and standard error so far.
    std::string output() const;

private:
    bool main_thread_has_ended() const;

    pid_t m_pid = -1;
    int m_status = -1;
    bool m_has_exited = false;
    std::string m_output_path;
};

} // namespace jasminepier::tests
