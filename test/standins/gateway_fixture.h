#pragma once

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "gateway.h"
#include "kv_store.h"
#include "platform_searcher.h"
#include "platform_store.h"
#include "wire_protocol.h"

namespace limpetpier::standins {

// Runs one gateway with a fake store and fake searchers in this process, on free loopback ports.
class gateway_fixture {
public:
    // Response to one request, if one was received.
    struct answer {
        bool received = false;
        http_reply reply;
        milliseconds elapsed { 0 };
    };

    gateway_fixture()
        : store(io)
    {
    }

    // Starts a fake searcher and writes its entry to the store. records: letters of the 16-byte records that
    // it returns.
    platform_searcher& addSearcher(const std::string& service, const std::string& id, const std::string& records, const std::string& state = "ready", int coldLeftMs = 0)
    {
        auto& searcher = searchers[id];
        searcher = std::make_unique<platform_searcher>(io, id, records);
        store.put("servers/" + id, searcher->entry(service, "z1", state, coldLeftMs));
        return *searcher;
    }

    // Writes a configuration to the store. Its routes are "query" over the services "a", "b" and "c", and "safe" and
    // "unsafe" to service "a"; extraRoutes is JSON that is appended to them.
    void writeConfiguration(std::uint64_t version, const std::string& extraRoutes = "") { store.put("op/config", makeConfiguration(version, extraRoutes)); }

    // Returns the configuration that writeConfiguration() writes; members is JSON that is appended to its members.
    static std::string makeConfiguration(std::uint64_t version, const std::string& extraRoutes = "", const std::string& members = "")
    {
        std::string services;
        for (const auto* name : { "a", "b", "c" })
            services += std::string(services.empty() ? "" : ",") + R"({"name":")" + name + R"(","healthPath":"/healthz","maxConns":20,"warmupS":3.0,"coldPerS":0.0})";
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"query","host":"h.example","prefix":"/query/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"gather":["a","b","c"],"maxAttempts":2,"topK":3,"minCoverage":0.6},
            {"name":"safe","host":"h.example","prefix":"/safe/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2},
            {"name":"unsafe","host":"h.example","prefix":"/unsafe/","type":"unsafe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2})"
            + extraRoutes + R"(],"services":[)" + services + R"(],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":500,"idleTimeoutMs":5000})" + members + "}";
    }

    // Starts the gateway with short timeouts; does not wait until it is ready.
    void startGateway(milliseconds memberSettleTime = milliseconds(20), milliseconds window = retryWindow)
    {
        settings.node = node_id("node-1");
        settings.zone = data_centre_id("z1");
        settings.clientAddress = freeAddress();
        settings.readyAddress = freeAddress();
        settings.peerAddress = freeAddress();
        settings.bounds = { 0.2, 50, window, 1.5, 5, limitWindow, 0, 0 };
        settings.membershipTiming.silenceTimeout = silenceTimeout;
        settings.memberSettleTime = memberSettleTime;
        settings.stopGrace = milliseconds(1500);
        gatewayProcess = std::make_unique<gateway>(io, protocol, storeClient, settings);
        gatewayProcess->start();
    }

    // Starts the gateway and waits until it is ready, its connections to the searchers are open and it may use its part of
    // the retry slack, which takes a whole window after a start: the window is short until then.
    void startAndAwaitReady()
    {
        constexpr milliseconds shortWindow { 100 };
        startGateway(milliseconds(20), shortWindow);
        REQUIRE(runUntil([&] { return isReady(); }));
        runFor(milliseconds(240));
        settings.bounds.retryWindow = retryWindow;
        gatewayProcess->changeSettings(settings);
    }

    // Runs the event loop for this long.
    void runFor(milliseconds duration)
    {
        io.restart();
        io.run_for(duration);
    }

    // Runs the event loop until the condition holds; returns false on timeout.
    template <typename Condition>
    bool runUntil(Condition condition, milliseconds timeout = milliseconds(3000))
    {
        const auto end = monotonic_clock::now() + timeout;
        while (!condition()) {
            if (monotonic_clock::now() >= end)
                return false;
            runFor(milliseconds(2));
        }
        return true;
    }

    // Sends raw bytes over a new connection and reads one response. received is false if there was none before the
    // timeout or the end of the connection.
    answer exchange(const std::string& address, const std::string& bytes, milliseconds timeout = milliseconds(1500))
    {
        auto result = std::make_shared<answer>();
        auto isDone = std::make_shared<bool>(false);
        const auto begin = monotonic_clock::now();
        const auto channel = http_channel::create(io.get_executor(), parseTcpEndpoint(address));
        channel->open(milliseconds(500), [&, channel, result, isDone](bool opened) {
            if (!opened) {
                *isDone = true;
                return;
            }
            channel->exchange(bytes, false, {}, [result, isDone, begin](exchange_result outcome) {
                result->received = outcome.stage == exchange_stage::replied;
                result->reply = std::move(outcome.reply);
                result->elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - begin);
                *isDone = true;
            });
        });
        runUntil([&] { return *isDone; }, timeout);
        channel->close();
        return *result;
    }

    // Formats a request without a body to the host of all routes.
    static std::string formatRequest(const std::string& path, const std::string& id, const std::string& method = "GET", int deadlineMs = 400)
    {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: 0\r\n\r\n";
    }

    // Sends a request to the gateway's client listener.
    answer sendRequest(const std::string& path, const std::string& id, const std::string& method = "GET", int deadlineMs = 400)
    {
        return exchange(settings.clientAddress, formatRequest(path, id, method, deadlineMs));
    }

    // Returns whether the gateway's readiness check answers with 200.
    bool isReady() { return exchange(settings.readyAddress, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n").reply.status == 200; }

    // Returns a loopback address with a port that is free at the moment.
    std::string freeAddress()
    {
        boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    static constexpr milliseconds retryWindow { 10'000 };
    milliseconds limitWindow { 0 }; // workspaces have no limits unless this is set before the start

    boost::asio::io_context io { 1 };
    platform_store store;
    std::map<std::string, std::unique_ptr<platform_searcher>> searchers;
    platform::wire_protocol protocol;
    platform::kv_store storeClient { io.get_executor(), store.address(), milliseconds(300) };
    gateway_settings settings;
    milliseconds silenceTimeout { 200 }; // of the gateway, before it checks whether the store still answers
    std::unique_ptr<gateway> gatewayProcess;
};

} // namespace limpetpier::standins
