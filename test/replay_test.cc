#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "limpetpier/coordination/searcher_gate.h"

using namespace limpetpier;

namespace {

constexpr microseconds usualService { 4000 };

// Drives one gate along a trace; the format is in test/replay/README.md.
class gate_replay {
public:
    void step(const std::string& line)
    {
        std::istringstream words(line);
        std::int64_t ms = 0;
        std::string verb;
        words >> ms >> verb;
        m_now = monotonic_time { std::chrono::hours { 1 } } + milliseconds { ms };
        if (verb == "gate")
            createGate(words);
        else if (verb == "warm-up")
            warmUp(words);
        else if (verb == "offer" || verb == "refuse")
            offer(words, verb == "refuse");
        else if (verb == "start")
            REQUIRE(m_gate->startNext(m_now).value().token == gate_token { number(words) });
        else if (verb == "idle")
            REQUIRE_FALSE(m_gate->startNext(m_now).has_value());
        else if (verb == "allowance")
            REQUIRE(m_gate->concurrencyLimit() == number(words));
        else if (verb == "restarted")
            m_gate->observe(searcher_event::restarted);
        else
            end(words, verb);
    }

private:
    static std::uint64_t number(std::istringstream& words)
    {
        std::uint64_t value = 0;
        words >> value;
        return value;
    }

    void createGate(std::istringstream& words)
    {
        const auto slots = static_cast<std::uint32_t>(number(words));
        m_gate.emplace(slots, static_cast<std::uint32_t>(number(words)));
    }

    // Good replies, one after the other.
    void warmUp(std::istringstream& words)
    {
        for (auto left = number(words); left > 0; --left) {
            const gate_token token { 1'000'000 + left };
            REQUIRE_FALSE(m_gate->enqueue({ token, m_now + milliseconds(100) }, m_now).has_value());
            REQUIRE(m_gate->startNext(m_now).has_value());
            m_gate->finish(token, slot_outcome::served, usualService, usualService, m_now);
        }
    }

    void offer(std::istringstream& words, bool refused)
    {
        const gate_token token { number(words) };
        const milliseconds deadline { number(words) };
        std::string last;
        words >> last;
        const auto why = m_gate->enqueue({ token, m_now + deadline, last == "hedge", 1 }, m_now);
        REQUIRE(why.has_value() == refused);
        if (refused)
            REQUIRE(std::string(toText(*why)) == last);
    }

    void end(std::istringstream& words, const std::string& verb)
    {
        const gate_token token { number(words) };
        const microseconds service { number(words) };
        REQUIRE((verb == "served" || verb == "cut" || verb == "shed"));
        const auto how = verb == "served" ? slot_outcome::served : (verb == "cut" ? slot_outcome::disconnected : slot_outcome::refused);
        m_gate->finish(token, how, service, usualService, m_now);
    }

    std::optional<searcher_gate> m_gate;
    monotonic_time m_now;
};

} // namespace

TEST_CASE("Recorded traces lead to their stated outcomes")
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
                replay.step(line);
        }
    }
    REQUIRE(traces == 2);
}
