#include "limpetpier/transport/bounded_writer.h"

#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "limpetpier/coordination/log_budget.h"
#include "limpetpier/transport/events.h"

using namespace limpetpier;

TEST_CASE("A bounded writer does not block on a stalled reader and drops whole lines")
{
    std::array<int, 2> pipeEnds {};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    bounded_writer writer(pipeEnds[1], 100'000);
    const std::string line(999, 'x');
    for (int count = 0; count < 1000; ++count)
        writer.append(line + "\n"); // exceeds the capacity of the pipe and the buffer together
    CHECK(writer.droppedLines() > 0);
    CHECK(writer.bufferedBytes() <= 100'000);

    SECTION("and writes the buffered lines once the reader resumes")
    {
        std::size_t received = 0;
        std::array<char, 4096> buffer {};
        while (writer.bufferedBytes() > 0) {
            received += static_cast<std::size_t>(read(pipeEnds[0], buffer.data(), buffer.size()));
            writer.flush();
        }
        CHECK(received > 0);
    }
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

TEST_CASE("Routine log lines can use half of the log budget, important lines all of it")
{
    const monotonic_time start { std::chrono::hours { 1 } };
    log_budget budget(10, 100'000);
    int routine = 0;
    while (budget.allows(log_importance::routine, start)) {
        budget.record(10);
        ++routine;
    }
    CHECK(routine == 5);
    CHECK(budget.allows(log_importance::important, start));
    CHECK(budget.takeSuppressedCount() == 1);
    CHECK(budget.allows(log_importance::routine, start + std::chrono::seconds(1)));
}

TEST_CASE("The log budget limits bytes per second")
{
    const monotonic_time start { std::chrono::hours { 1 } };
    log_budget budget(1000, 100);
    budget.record(100);
    CHECK(budget.allows(log_importance::important, start)); // the byte count restarts each second
    budget.record(100);
    CHECK_FALSE(budget.allows(log_importance::important, start));
}

TEST_CASE("Event field values with spaces or quotes are quoted and escaped")
{
    CHECK(event_fields().add("a", "plain").add("b", "two words").add("c", "say \"x\"").add("d", 7).text() == "a=plain b=\"two words\" c=\"say \\\"x\\\"\" d=7");
}
