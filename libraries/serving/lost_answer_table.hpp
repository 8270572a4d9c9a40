/// Answers that were lost with their connection, until it is known whether the server crashed.
#pragma once

#include "base/clock.hpp"
#include "serving/server_directory.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// A request whose connection to a server ended before the response was complete.
struct lost_answer
{
    std::string request_id;
    /// Fingerprint of the whole request.
    std::uint64_t fingerprint = 0;
    /// Fingerprints of the prompt's parts that are suspected if the server has crashed; empty if it
    /// had begun to answer.
    std::vector<std::uint64_t> prompt_parts;
    std::string server;
    /// IP:PORT.
    std::string address;
    /// Start time of the server, or 0 if it states none.
    std::int64_t server_started_unix_milliseconds = 0;
    base::time_point time{};
};

/// Proof that a server crashed after it had lost an answer.
enum class crash_evidence
{
    /// The host refused a new connection.
    connection_refused,
    /// The server is listed with a later start.
    restarted,
};

std::string_view to_string(crash_evidence evidence) noexcept;

/// Lost answers whose server accepted connections or did not respond afterwards. A network fault or
/// a faulty server loses answers, too, so a lost answer alone is no crash. Not synchronized.
class lost_answer_table
{
public:
    /// How long a restart counts as evidence. A crashed server is back after some seconds.
    static constexpr base::milliseconds observation_time{10000};
    /// Delay of the second probe. A process that ends may close its connections before its port.
    static constexpr base::milliseconds second_probe_delay{300};
    /// When the table is full, the oldest answer is dropped.
    static constexpr std::size_t maximum_answers = 256;

    void add(lost_answer answer);
    /// Removes and returns the answers whose servers have restarted. Drops those that are older
    /// than `observation_time`.
    std::vector<lost_answer> take_restarted(server_directory const& directory,
                                            base::time_point now);
    /// Returns at most `limit` addresses that are due for their second probe, each once.
    std::vector<std::string> take_due_probes(base::time_point now, std::size_t limit);
    /// Removes and returns the answers of the server at `address`, which has refused a connection.
    std::vector<lost_answer> take_refused(std::string_view address);
    std::size_t size() const noexcept { return m_answers.size(); }

private:
    struct observed_answer
    {
        lost_answer answer;
        bool probed = false;
    };

    template <class Predicate>
    std::vector<lost_answer> take_if(Predicate&& is_taken);

    std::vector<observed_answer> m_answers;
};

} // namespace jasminepier::serving
