#include "limpetpier/transport/bounded_writer.h"

#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "limpetpier/coordination/log_budget.h"
#include "limpetpier/transport/events.h"

using namespace limpetpier;

TEST_CASE("A reader that stands still does not hold up the writer, and lines are dropped whole")
{
    std::array<int, 2> ends {};
    REQUIRE(pipe(ends.data()) == 0);
    bounded_writer writer(ends[1], 100'000);
    const std::string line(999, 'x');
    for (int count = 0; count < 1000; ++count)
        writer.append(line + "\n"); // far more than pipe and buffer hold
    CHECK(writer.droppedLines() > 0);
    CHECK(writer.bufferedBytes() <= 100'000);

    SECTION("what was kept arrives once it reads again")
    {
        std::size_t received = 0;
        std::array<char, 4096> buffer {};
        while (writer.bufferedBytes() > 0) {
            received += static_cast<std::size_t>(read(ends[0], buffer.data(), buffer.size()));
            writer.flush();
        }
        CHECK(received > 0);
    }
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("Routine lines get half of the log's budget, the others all of it")
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

TEST_CASE("Bytes are bounded too")
{
    const monotonic_time start { std::chrono::hours { 1 } };
    log_budget budget(1000, 100);
    budget.record(100);
    CHECK(budget.allows(log_importance::important, start)); // a new second
    budget.record(100);
    CHECK_FALSE(budget.allows(log_importance::important, start));
}

TEST_CASE("Fields with blanks or quotes are quoted")
{
    CHECK(event_fields().add("a", "plain").add("b", "two words").add("c", "say \"x\"").add("d", 7).text() == "a=plain b=\"two words\" c=\"say \\\"x\\\"\" d=7");
}
