#include "limpetpier/protocol/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "limpetpier/state/errors.h"

using namespace limpetpier;

TEST_CASE("Only messages from nodes of the same deployment are accepted")
{
    const node_codec codec("tranchet", "secret");
    const auto frame = codec.sealFrame(slow_notice { query_number { 7 }, { 3, 1 } });
    const auto sealed = std::string_view(frame).substr(frameLengthBytes);

    SECTION("a sealed message can be opened")
    {
        REQUIRE(node_codec::parseLength(frame) == sealed.size());
        REQUIRE(std::get<slow_notice>(codec.openFrame(sealed)).ref == attempt_ref { 3, 1 });
    }

    SECTION("a message sealed with another secret is rejected")
    {
        REQUIRE_THROWS_AS(node_codec("tranchet", "other").openFrame(sealed), frame_error);
    }

    SECTION("a message from another deployment is rejected")
    {
        REQUIRE_THROWS_AS(node_codec("hrafnsey", "secret").openFrame(sealed), frame_error);
    }

    SECTION("a frame above the maximum size is rejected by its length field")
    {
        REQUIRE_THROWS_AS(node_codec::parseLength(std::string("\xff\xff\xff\xff")), frame_error);
    }

    SECTION("a message with any byte changed is rejected")
    {
        const bool passed = rc::check("tampered frames are rejected", [&] {
            auto tampered = std::string(sealed);
            const auto position = *rc::gen::inRange<std::size_t>(0, tampered.size());
            tampered[position] = static_cast<char>(tampered[position] ^ *rc::gen::inRange(1, 256));
            RC_ASSERT_THROWS_AS((void)codec.openFrame(tampered), frame_error);
        });
        REQUIRE(passed);
    }
}

TEST_CASE("A probe with the maximum number of suspicions fits into one datagram")
{
    probe_message probe;
    probe.from = node_id { std::string(40, 'n') };
    for (std::size_t number = 0; number < maxSuspicionsPerProbe; ++number)
        probe.suspicions.push_back({ node_id { std::string(40, 's') }, incarnation_number { 1 }, node_id { std::string(40, 'w') }, 1 });
    REQUIRE(node_codec("tranchet", "secret").sealDatagram(probe).size() <= maxDatagramBytes);
}
