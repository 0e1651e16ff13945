#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "limpetpier/coordination/member_share.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/state/workspace.h"

namespace limpetpier {

// Limit on the requests of one workspace over all processes.
struct rate_limit {
    double perSecond = 0;
    double burst = 0;

    bool operator==(const rate_limit&) const = default;
};

// Members that keep the limit of a workspace; each keeps an equal part.
constexpr std::size_t keepersPerWorkspace = 2;

// Token bucket. If it starts empty, the permits of a process and its predecessor add up to those of one bucket.
class permit_bucket {
public:
    // level: tokens held at the start, at most the burst.
    permit_bucket(const rate_limit& limit, double level, monotonic_time now)
        : m_limit(limit)
        , m_tokens(std::min(level, capacity()))
        , m_filledAt(now)
    {
    }

    // Replaces the limit; the tokens held are cut to the new burst.
    void changeLimit(const rate_limit& limit, monotonic_time now);

    // Takes up to this many whole tokens and returns how many there were.
    [[nodiscard]] std::uint32_t withdraw(std::uint32_t wanted, monotonic_time now);

    // Tokens held now.
    [[nodiscard]] double level(monotonic_time now);

    // Time until a whole token is held; the maximum if the rate is 0.
    [[nodiscard]] milliseconds timeToToken(monotonic_time now);

    [[nodiscard]] const rate_limit& limit() const { return m_limit; }

private:
    void fill(monotonic_time now);

    // At least one, so that a limit below one a second admits something.
    [[nodiscard]] double capacity() const { return std::max(m_limit.burst, 1.0); }

    rate_limit m_limit;
    double m_tokens;
    monotonic_time m_filledAt;
};

// Knows the keepers of each workspace's limit, and gives permits for requests of the workspaces that this process keeps.
//
// Keepers are the members of lowest rank in the member list. At most one process must act for each of them, so a new
// keeper starts with an empty bucket, and one that displaces a listed member first waits until that one has read the list
// or has stopped because it could not: a keeper gives no permits once its list has not been confirmed for the
// confirmation period.
class rate_keeper {
public:
    // confirmationPeriod: for how long a member list counts after it was confirmed. Less than the time to live of an entry
    // in the list, more than the time in which a process in contact with the store learns of a change.
    rate_keeper(node_id self, milliseconds confirmationPeriod)
        : m_self(std::move(self))
        , m_confirmationPeriod(confirmationPeriod)
    {
    }

    // Sets the permits that a keeper holds when it starts, at most its part of the burst. They count against what the
    // deployment tolerates beyond the limits.
    void setStartLevel(double permits) { m_startLevel = permits; }

    // Applies the limits in force and the member list. isRestart: this process was on the list before it started.
    void update(const std::map<workspace_id, rate_limit>& limits, const std::vector<listed_member>& members, bool isRestart, monotonic_time now);

    // Notes when the member list was last confirmed. To be called periodically: after a pause the process may have been
    // replaced, so it waits as if it displaced another.
    void confirm(monotonic_time confirmedAt, monotonic_time now);

    // Ends keeping all workspaces for good, because this process leaves the list.
    void leave();

    // Keepers of a workspace, the preferred one of this process first.
    [[nodiscard]] std::vector<node_id> keepersOf(const workspace_id& workspace) const;

    // Result of a request for permits.
    struct answer {
        std::uint32_t granted = 0;
        milliseconds nextPermit { 0 }; // when one more may be expected, if none was granted; 0 if that is unknown
        bool isLimitReached = false; // nothing is granted because of the limit, not because this process does not keep it
        double level = 0; // permits left

        bool operator==(const answer&) const = default;
    };

    // Grants up to this many permits.
    [[nodiscard]] answer grant(const workspace_id& workspace, std::uint32_t wanted, monotonic_time now);

    // Number of workspaces that this process keeps.
    [[nodiscard]] std::size_t keptCount() const;

private:
    struct limited_workspace {
        rate_limit limit; // over all processes
        std::vector<node_id> keepers;
        std::optional<permit_bucket> bucket; // set while this process is a keeper
        monotonic_time startsAt; // no permits before
    };

    static rate_limit partOf(const limited_workspace& entry);
    void start(limited_workspace& entry, monotonic_time at) const;

    node_id m_self;
    milliseconds m_confirmationPeriod;
    double m_startLevel = 0;
    monotonic_time m_confirmedAt {};
    monotonic_time m_checkedAt {};
    bool m_hasList = false;
    bool m_isLeaving = false;
    std::map<workspace_id, limited_workspace> m_workspaces;
};

} // namespace limpetpier
