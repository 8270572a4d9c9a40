/// Detection of poison requests: requests that crash the servers that run them.
#pragma once

#include "base/clock.hpp"
#include "base/ordered_mutex.hpp"
#include "decision/trial_schedule.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminepier::decision
{

/// A crash of a server and a trait of a request that was running on it: the fingerprint of the
/// whole request or of one part of its prompt. `instance` distinguishes several crashes of one
/// server.
struct crash_event
{
    std::uint64_t fingerprint = 0;
    std::string server;
    std::string instance;
    /// Rounded up, so forwarding an event never makes it younger.
    std::int64_t age_seconds = 0;
    /// The same with a finer resolution, if the sender states it.
    std::optional<std::int64_t> age_milliseconds = std::nullopt;
};

/// A server has begun to answer a request with this part.
struct answered_part
{
    std::uint64_t part = 0;
    /// Rounded up.
    std::int64_t age_milliseconds = 0;
};

/// A node has sent a request with this part to learn whether it still crashes servers.
struct tried_part
{
    std::uint64_t part = 0;
    /// Rounded up.
    std::int64_t age_milliseconds = 0;
};

/// What one message to the other nodes says about crashes.
struct crash_report
{
    std::vector<crash_event> crashes;
    std::vector<answered_part> answered_parts;
    std::vector<tried_part> tried_parts;
    /// The report has news of this node that it has sent less than `news_transmissions` times.
    bool has_news = false;
    /// The next report has news as well.
    bool has_more_news = false;
};

enum class poison_verdict
{
    clean,
    /// Has been running during a crash. It runs only on a server without another suspected request.
    suspected,
    rejected,
};

enum class part_verdict
{
    clean,
    /// Another part was there in the same crashes, so either may be the cause. A request with only
    /// one of them tells which.
    ambiguous,
    rejected,
};

/// The verdict about a request's prompt parts and the part that it is based on.
struct part_judgement
{
    part_verdict verdict = part_verdict::clean;
    std::uint64_t part = 0;
    /// Time after which a request with the part may run, if it is not clean.
    base::milliseconds retry_after{0};
};

/// Returns the fingerprint of a prompt part, which differs from those of whole requests.
std::uint64_t fingerprint_prompt_part(std::string_view part) noexcept;

/// A replicated set of crash events. Merging is idempotent and commutative, so duplicate and
/// reordered messages don't matter. Thread-safe.
///
/// Whole requests are counted for every crash during which they ran since their last complete
/// response: a poison request never gets one. Prompt parts are shared by many requests, so they are
/// judged by what followed: the crashes since a server last began to answer a request with the
/// part. A part that crashes servers never gets that far, while a part
/// that only happened to run there soon does. A rejected part is half-open from time to time: one
/// request of the whole fleet is sent as a trial (see trial_schedule.hpp). Its answer clears the
/// part, and its crash doubles the time until the next trial.
class poison_request_detector
{
public:
    static constexpr std::chrono::seconds event_lifetime{3600};
    /// Crashes after which a request or a part is rejected. A harmless request that shares a batch
    /// with a poison request once or twice stays below the threshold.
    static constexpr std::size_t rejection_threshold = 3;
    /// The same for a part that servers have answered before.
    static constexpr std::size_t answered_part_threshold = 5;
    /// Crashes within this time of each other count once for a part: a disruption that ends many
    /// servers at once says nothing about the requests that they have in common.
    static constexpr base::milliseconds minimum_crash_distance{400};
    /// Each event takes about 200 bytes. When the set is full, the oldest event is evicted; those
    /// of rejected requests and parts last.
    static constexpr std::size_t maximum_events = 4096;
    /// Parts whose last answer is remembered. When exceeded, the older half is dropped, except for
    /// parts with crashes.
    static constexpr std::size_t maximum_answered_parts = 16384;
    /// Time between two requests with an ambiguous part that are sent to learn the cause.
    static constexpr base::milliseconds trial_interval{2000};
    /// Parts whose last trial is remembered. No further trials begin while there are as many.
    static constexpr std::size_t maximum_trials = 1024;
    /// Reports in which a node announces a trial. More than for other news, since each node that
    /// misses it may begin a trial of its own.
    static constexpr int trial_transmissions = 6;
    /// While requests that were running during the last crash may still be answered, callers are
    /// told to retry after `trial_interval`.
    static constexpr base::milliseconds settling_time{5000};
    /// Reports in which a node repeats its own news, in case datagrams are lost.
    static constexpr int news_transmissions = 3;

    /// Returns true if the event was not known yet.
    bool record(crash_event const& event, base::time_point now);
    void merge(std::span<crash_event const> events, base::time_point now);
    poison_verdict classify(std::uint64_t fingerprint, base::time_point now);
    /// Returns true if this node may send a rejected request now as a trial, which shows whether it
    /// still crashes servers. Trials are rare and taken in turns, as for rejected parts.
    bool try_begin_request_trial(std::uint64_t fingerprint, fleet_position position,
                                 base::time_point now);
    /// Records that a server has sent a complete success for the whole request. Returns true if the
    /// request was suspected until then.
    bool record_completed(std::uint64_t fingerprint, base::time_point now);

    /// Records the crash of a server that had begun no answer to a request with these parts. If a
    /// part is rejected already, the crash is attributed to it and the others are not suspected.
    /// Returns the parts that are suspected because of this crash.
    std::vector<std::uint64_t> record_unanswered(std::span<std::uint64_t const> parts,
                                                 std::string const& server,
                                                 std::string const& instance, base::time_point now);
    /// Records that a server has begun to answer a request with these parts. Returns those that
    /// were suspected until then.
    std::vector<std::uint64_t> record_answered(std::span<std::uint64_t const> parts,
                                               base::time_point now);
    /// Applies the answers that another node reports. An answer that clears a part here is
    /// forwarded once; more often, its time would become younger with each exchange.
    void merge_answered(std::span<answered_part const> parts, base::time_point now);
    /// Judges a request by its parts. A part is not rejected if all crashes with it are explained
    /// by another rejected part, which the request does not have and which crashed more servers.
    part_judgement judge_parts(std::span<std::uint64_t const> parts, base::time_point now) const;
    /// Returns the part that determines which node tries these parts, if a trial is due: of those
    /// that are not clean, the one with the lowest fingerprint.
    std::optional<std::uint64_t> find_due_trial(std::span<std::uint64_t const> parts,
                                                base::time_point now) const;
    /// Returns true if this node may send a request with these parts now, although they are not
    /// clean. `position` is that of this node for the part that `find_due_trial` returned; only
    /// rejected parts are bound to a turn.
    bool try_begin_trial(std::span<std::uint64_t const> parts, fleet_position position,
                         base::time_point now);
    /// Applies the trials that another node has announced.
    void merge_tried(std::span<tried_part const> parts, base::time_point now);

    /// Returns the events that have not expired.
    std::vector<crash_event> events(base::time_point now);
    /// Returns at most `limit` crashes and as many answers for the next report to other nodes: news
    /// of this node first, then the other events in turn.
    crash_report take_report(std::size_t limit, base::time_point now);
    /// Returns the number of crashes that the next reports have as news.
    std::size_t count_news() const;
    std::size_t size() const;

    /// Reserves `server` for one suspected request of this node. Returns false if it is already
    /// reserved.
    bool try_reserve_server(std::string const& server);
    void release_server(std::string const& server);

private:
    using event_key = std::tuple<std::uint64_t, std::string, std::string>;

    struct event_state
    {
        /// Time of the crash; the earliest one reported.
        base::time_point time{};
        /// Reports in which this node still has to send the event as news.
        int transmissions = 0;
    };

    struct answer_state
    {
        base::time_point last_answer{};
        /// Last answer to a request of this node.
        std::optional<base::time_point> last_local_answer;
        /// Reports in which this node still has to send `last_answer`.
        int transmissions = 0;
        /// The answer to send is one to a request of this node.
        bool is_local_news = false;
    };

    struct trial_state
    {
        base::time_point time{};
        /// Reports in which this node still has to announce its trial.
        int transmissions = 0;
    };

    bool insert(crash_event const& event, base::time_point now, int transmissions = 0);
    /// Records an answer to a request of this node. Returns true if the part, or the whole request,
    /// was suspected until then.
    bool record_local_answer(std::uint64_t fingerprint, base::time_point now);
    void drop_expired(base::time_point now);
    void evict_oldest_event();
    void drop_old_answers();
    /// Returns the sorted times of the crashes since the last answer.
    std::vector<base::time_point> crash_times_since_answer(std::uint64_t fingerprint,
                                                           base::time_point now) const;
    /// The same for a part; crashes that are close together appear once.
    std::vector<base::time_point> distinct_crash_times(std::uint64_t part,
                                                       base::time_point now) const;
    std::size_t count_crashes_since_answer(std::uint64_t part, base::time_point now) const;
    std::size_t rejection_threshold_of(std::uint64_t part) const;
    /// Returns when a part with this verdict may be tried next.
    base::time_point next_trial(std::uint64_t part, part_verdict verdict,
                                base::time_point now) const;
    /// Returns the parts that are not clean, in order, with their verdicts.
    std::map<std::uint64_t, part_verdict> find_unclean(std::span<std::uint64_t const> parts,
                                                       base::time_point now) const;
    bool is_part_rejected(std::uint64_t part, base::time_point now) const;
    /// Returns the server and instance of each crash since the part's last answer.
    std::set<std::pair<std::string, std::string>> crash_sites(std::uint64_t part,
                                                              base::time_point now) const;
    part_verdict judge_part(std::uint64_t part, std::span<std::uint64_t const> parts,
                            base::time_point now) const;
    static crash_event make_event(event_key const& key, base::time_point time,
                                  base::time_point now);
    void add_answers(crash_report& report, std::size_t limit, base::time_point now);
    void add_trials(crash_report& report, std::size_t limit, base::time_point now);

    mutable base::ordered_mutex<base::lock_level::poison_request_detector> m_mutex;
    std::map<event_key, event_state> m_events;
    /// Last trial of each part that is not clean.
    std::map<std::uint64_t, trial_state> m_trials;
    std::unordered_map<std::uint64_t, answer_state> m_answers;
    std::set<std::string> m_reserved_servers;
    /// Last event that was sent in turn.
    event_key m_last_sent_event;
    std::uint64_t m_last_sent_answer = 0;
};

} // namespace jasminepier::decision
