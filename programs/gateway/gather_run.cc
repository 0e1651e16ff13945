#include <algorithm>
#include <set>

#include "limpetpier/coordination/part_merge.h"
#include "limpetpier/transport/events.h"
#include "run_base.h"

namespace limpetpier {

namespace {

constexpr unsigned statusGatewayTimeout = 504;

// One query over many shards: the parts are sent at once, stragglers are hedged, and the answer goes out when all parts
// are in or waiting for the rest is worth less than answering in time.
class gather_run final : public run_base, public std::enable_shared_from_this<gather_run> {
public:
    gather_run(run_context& context, accepted_request request)
        : run_base(context, std::move(request))
        , m_policy(m_request.rule->shards.size(), m_request.rule->leastCoverage, m_request.arrived, m_request.rule->objective, m_request.record->answers.expected())
    {
        for (const auto& service : m_request.rule->shards)
            m_parts.push_back({ service, part_state::waiting, {}, {}, 0, 0, {}, {} });
        m_report.parts = m_parts.size();
    }

    void start()
    {
        m_request.call.onGone([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleGone();
        });
        m_self = shared_from_this();
        for (std::size_t index = 0; index < m_parts.size() && !isFinished(); ++index) {
            const auto now = monotonic_clock::now(); // on a slow machine the last part goes out much later than the first
            m_context.fleet.allowance(m_parts[index].service).recordRequest(now);
            sendPart(index, now, "first");
        }
        settle();
    }

private:
    enum class part_state : std::uint8_t {
        waiting, // nothing is running; a searcher may become usable
        running,
        done,
        failed,
    };

    struct part {
        service_id service;
        part_state state;
        std::vector<searcher_id> tried;
        std::vector<std::pair<searcher_id, call_handle>> running;
        std::uint32_t possibleRuns;
        std::uint32_t arrivals; // sends that reached a searcher, or still may
        monotonic_time firstSend;
        searcher_reply reply;
    };

    bool sendPart(std::size_t index, monotonic_time now, const char* why)
    {
        auto& part = m_parts[index];
        auto* pool = m_context.fleet.choose(part.service, part.tried, now);
        if (pool == nullptr)
            return false;
        const bool first = part.arrivals == 0;
        if (!first && !m_context.fleet.allowance(part.service).tryWithdraw(now))
            return false;
        const auto searcher = pool->entry().id;
        auto call = std::make_shared<searcher_call>();
        call->request = m_request.client;
        call->paid = !first;
        call->answerBy = m_request.answerBy;
        call->lateAt = now + 2 * m_request.record->hedgeAfter(*m_request.rule);
        call->onResult = [self = shared_from_this(), index, call = std::weak_ptr(call), searcher](call_result result) { self->handleResult(index, call.lock(), searcher, std::move(result)); };
        if (first)
            part.firstSend = now;
        else
            noteResent(part.service, searcher, why, std::chrono::duration_cast<microseconds>(now - part.firstSend));
        part.tried.push_back(searcher);
        part.running.emplace_back(searcher, call);
        part.state = part_state::running;
        ++part.possibleRuns;
        ++part.arrivals;
        ++m_report.sends;
        pool->send(call);
        return true;
    }

    void handleResult(std::size_t index, const call_handle& call, const searcher_id& searcher, call_result result)
    {
        auto& part = m_parts[index];
        if (result.stage == exchange_stage::not_written) {
            --part.arrivals;
            takeBack(part.service, *call);
        }
        std::erase_if(part.running, [&](const auto& item) { return item.second == call; });
        if (isFinished() || part.state == part_state::done)
            return;
        if (result.stage != exchange_stage::replied || result.reply.kind != reply_kind::success)
            noteFailed(part.service, searcher, result);
        if (result.certainlyNotRun()) {
            --part.possibleRuns;
            ++m_report.refusals;
        } else if (result.stage == exchange_stage::replied) {
            recordReply(searcher, result.elapsed);
            if (result.reply.kind == reply_kind::success) {
                take(part, std::move(result.reply));
                settle();
                return;
            }
        }
        if (part.running.empty() && !retry(index))
            settle();
    }

    void recordReply(const searcher_id& searcher, microseconds elapsed)
    {
        m_request.record->replies.record(elapsed);
        if (auto* pool = m_context.fleet.find(searcher))
            pool->recordSlowness(static_cast<double>(elapsed.count()) / static_cast<double>(m_request.record->ordinary(*m_request.rule).count()), monotonic_clock::now());
    }

    void take(part& part, searcher_reply reply)
    {
        part.state = m_signatures.insert(reply.signature).second ? part_state::done : part_state::failed;
        part.reply = std::move(reply);
        release(part, loserLinger);
    }

    // Sends a part whose last send failed once more; the part waits or fails where that is not possible.
    bool retry(std::size_t index)
    {
        auto& part = m_parts[index];
        part.state = part_state::waiting;
        if (part.possibleRuns >= m_request.rule->maxAttempts || !m_context.fleet.hasOther(part.service, part.tried)) {
            part.state = part_state::failed;
            return false;
        }
        return sendPart(index, monotonic_clock::now(), "refused_or_broken");
    }

    [[nodiscard]] gather_progress progress() const
    {
        gather_progress result;
        for (const auto& part : m_parts) {
            result.done += part.state == part_state::done ? 1U : 0U;
            result.failed += part.state == part_state::failed ? 1U : 0U;
            result.unsent += part.state == part_state::waiting ? 1U : 0U;
        }
        return result;
    }

    // Answers if it is time to, else waits for the next moment at which something can change.
    void settle()
    {
        if (isFinished())
            return;
        const auto now = monotonic_clock::now();
        const auto state = progress();
        if (state.done >= m_policy.minimumParts())
            m_coveredAt = std::min(m_coveredAt, now);
        if (m_policy.shouldAnswer(state, now))
            answer(now);
        else if (m_policy.cannotSucceed(state, now) || now >= m_request.answerBy)
            fail(now);
        else
            arm(now);
    }

    void arm(monotonic_time now)
    {
        auto next = std::min(m_request.answerBy, m_policy.nextDecisionTime(now));
        const auto hedgeAfter = m_request.record->hedgeAfter(*m_request.rule);
        for (const auto& part : m_parts) {
            if (part.state == part_state::waiting)
                next = std::min<monotonic_time>(next, now + resendInterval);
            else if (mayHedge(part))
                next = std::min<monotonic_time>(next, std::max<monotonic_time>(part.firstSend + hedgeAfter, now + hedgeRecheck(part, now, hedgeAfter)));
        }
        if (m_armed && m_armedFor <= next && m_armedFor > now)
            return;
        m_armed = true;
        m_armedFor = next;
        m_timer.expires_at(next);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && !self->isFinished())
                self->handleTimer();
        });
    }

    [[nodiscard]] bool mayHedge(const part& part) const { return part.state == part_state::running && part.running.size() == 1 && part.possibleRuns < m_request.rule->maxAttempts; }

    // A hedge that could not be sent is tried again a little later.
    static milliseconds hedgeRecheck(const part& part, monotonic_time now, microseconds hedgeAfter)
    {
        return part.firstSend + hedgeAfter <= now ? resendInterval : milliseconds(0);
    }

    void handleTimer()
    {
        m_armed = false;
        const auto now = monotonic_clock::now();
        const auto hedgeAfter = m_request.record->hedgeAfter(*m_request.rule);
        for (std::size_t index = 0; index < m_parts.size() && !isFinished(); ++index) {
            auto& part = m_parts[index];
            if (part.state == part_state::waiting && !sendPart(index, now, "searcher_back") && !m_context.fleet.hasOther(part.service, part.tried))
                part.state = part_state::failed;
            else if (mayHedge(part) && now >= part.firstSend + hedgeAfter && sendPart(index, now, "late"))
                ++m_report.hedges;
        }
        settle();
    }

    void answer(monotonic_time now)
    {
        const auto due = std::min(now, std::max(m_policy.partialAnswerTime(), m_coveredAt));
        merged_answer merged;
        std::vector<std::string> bodies;
        for (auto& part : m_parts) {
            if (part.state == part_state::done) {
                merged.signatures.push_back(std::move(part.reply.signature));
                bodies.push_back(std::move(part.reply.message.body));
            } else {
                ++merged.missingParts;
            }
        }
        merged.records = mergeParts(bodies, m_request.rule->topRecords);
        m_report.missingParts = merged.missingParts;
        logMissing(event::part_missing);
        finish(m_context.protocol.encodeMerged(merged), merged.missingParts == 0 ? "answered" : "answered_incomplete");
        m_request.record->answers.record(std::chrono::duration_cast<microseconds>(monotonic_clock::now() - due));
        releaseAll(loserLinger);
    }

    void fail(monotonic_time now)
    {
        m_report.missingParts = m_parts.size() - progress().done;
        logMissing(event::part_failed);
        const bool ran = std::any_of(m_parts.begin(), m_parts.end(), [](const auto& part) { return part.possibleRuns > 0; });
        if (!ran)
            finishNotRun("no_searcher", "no searcher took the query; it has not run");
        else if (now >= m_request.answerBy)
            finishUnknown(statusGatewayTimeout, "short_of_coverage", "too few shards answered in time; safe to ask again");
        else
            finishUnknown(statusGatewayTimeout, "short_of_coverage", "too few shards can answer now; safe to ask again");
        releaseAll(loserLinger);
    }

    // One line for each part that is not in: who was asked, and what became of it.
    void logMissing(event id) const
    {
        for (const auto& part : m_parts) {
            if (part.state == part_state::done || !isLogged(id))
                continue;
            std::string asked;
            for (const auto& searcher : part.tried)
                asked.append(asked.empty() ? "" : ",").append(searcher.value());
            logEvent(id, event_fields().add("request", m_report.requestId).add("service", part.service.value()).add("state", describe(part.state)).add("asked", asked).add("listed", m_context.fleet.count(part.service)));
        }
    }

    static const char* describe(part_state state)
    {
        switch (state) {
        case part_state::waiting:
            return "no_searcher_usable";
        case part_state::running:
            return "no_reply_yet";
        case part_state::done:
            return "in";
        case part_state::failed:
            return "failed";
        }
        return "unknown";
    }

    void handleGone()
    {
        finishGone();
        releaseAll(goneLinger);
    }

    void release(part& part, milliseconds linger)
    {
        for (const auto& [searcher, call] : std::exchange(part.running, {})) {
            if (auto* pool = m_context.fleet.find(searcher))
                pool->cancel(call, linger);
            call->finished = true;
            if (!call->written)
                takeBack(part.service, *call);
        }
    }

    void releaseAll(milliseconds linger)
    {
        for (auto& part : m_parts)
            release(part, linger);
        m_self.reset();
    }

    gather_policy m_policy;
    std::vector<part> m_parts;
    std::set<std::string> m_signatures; // of the parts that are in: each counts once
    monotonic_time m_coveredAt = monotonic_time::max(); // when the least coverage was in
    bool m_armed = false;
    monotonic_time m_armedFor {};
    std::shared_ptr<gather_run> m_self; // until the run is over
};

} // namespace

void startGatherRun(run_context& context, accepted_request request)
{
    std::make_shared<gather_run>(context, std::move(request))->start();
}

} // namespace limpetpier
