#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "limpetpier/coordination/searcher_gate.h"

using namespace limpetpier;

namespace {

constexpr microseconds usualServiceTime { 4000 };

// Replays a trace on one gate; test/replay/README.md describes the format.
class gate_replay {
public:
    void replayLine(const std::string& line)
    {
        std::istringstream words(line);
        std::int64_t timeMs = 0;
        std::string verb;
        words >> timeMs >> verb;
        m_now = monotonic_time { std::chrono::hours { 1 } } + milliseconds { timeMs };
        if (verb == "gate")
            createGate(words);
        else if (verb == "warm-up")
            warmUp(words);
        else if (verb == "offer" || verb == "refuse")
            enqueue(words, verb == "refuse");
        else if (verb == "start")
            REQUIRE(m_gate->startNext(m_now).value().token == gate_token { readNumber(words) });
        else if (verb == "idle")
            REQUIRE_FALSE(m_gate->startNext(m_now).has_value());
        else if (verb == "allowance")
            REQUIRE(m_gate->concurrencyLimit() == readNumber(words));
        else if (verb == "restarted")
            m_gate->observe(searcher_event::restarted);
        else
            finish(words, verb);
    }

private:
    static std::uint64_t readNumber(std::istringstream& words)
    {
        std::uint64_t value = 0;
        words >> value;
        return value;
    }

    void createGate(std::istringstream& words)
    {
        const auto slots = static_cast<std::uint32_t>(readNumber(words));
        m_gate.emplace(slots, static_cast<std::uint32_t>(readNumber(words)));
    }

    // Processes the given number of good replies one after the other.
    void warmUp(std::istringstream& words)
    {
        for (auto remaining = readNumber(words); remaining > 0; --remaining) {
            const gate_token token { 1'000'000 + remaining };
            REQUIRE_FALSE(m_gate->enqueue({ token, m_now + milliseconds(100) }, m_now).has_value());
            REQUIRE(m_gate->startNext(m_now).has_value());
            m_gate->finish(token, slot_outcome::served, usualServiceTime, usualServiceTime, m_now);
        }
    }

    void enqueue(std::istringstream& words, bool refused)
    {
        const gate_token token { readNumber(words) };
        const milliseconds timeLeft { readNumber(words) };
        std::string hedgeOrReason;
        words >> hedgeOrReason;
        const auto refusalReason = m_gate->enqueue({ token, m_now + timeLeft, hedgeOrReason == "hedge", 1 }, m_now);
        REQUIRE(refusalReason.has_value() == refused);
        if (refused)
            REQUIRE(std::string(toText(*refusalReason)) == hedgeOrReason);
    }

    void finish(std::istringstream& words, const std::string& verb)
    {
        const gate_token token { readNumber(words) };
        const microseconds serviceTime { readNumber(words) };
        REQUIRE((verb == "served" || verb == "cut" || verb == "shed"));
        const auto outcome = verb == "served" ? slot_outcome::served : (verb == "cut" ? slot_outcome::disconnected : slot_outcome::refused);
        m_gate->finish(token, outcome, serviceTime, usualServiceTime, m_now);
    }

    std::optional<searcher_gate> m_gate;
    monotonic_time m_now;
};

} // namespace

TEST_CASE("Replayed traces give the expected results")
{
    std::size_t traces = 0;
    for (const auto& entry : std::filesystem::directory_iterator(std::string(LIMPETPIER_SOURCE_DIR) + "/test/replay")) {
        if (entry.path().extension() != ".trace")
            continue;
        ++traces;
        gate_replay replay;
        std::ifstream in(entry.path());
        std::string line;
        while (std::getline(in, line)) {
            INFO(entry.path().filename().string() << ": " << line);
            if (!line.empty() && line[0] != '#')
                replay.replayLine(line);
        }
    }
    REQUIRE(traces == 2);
}
