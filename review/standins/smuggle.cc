#include <future>

#include "common.h"
#include "standins/node_file.h"
#include "standins/platform_searcher.h"
#include "standins/platform_store.h"

// Store, two searchers of one service with an unsafe route, and a requester whose bodies contain the text of another
// request. Usage: smuggle IP PORT SETTINGS-FILE RECORD-FILE TROUBLE. Exit: 0 held, 1 broken, 2 could not run.

using namespace review;
using namespace limpetpier::standins;

namespace {

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"order","host":"search.example","prefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"commandes","maxAttempts":2}],
"services":[{"name":"commandes","healthPath":"/healthz","maxConns":110,"warmupS":3.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct framing {
    const char* name;
    std::string fields;
    bool chunked;
};

std::string toChunk(const std::string& body)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return size + body + "\r\n0\r\n\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return 2;
    const std::string ip = argv[1];
    const int port = std::atoi(argv[2]);
    const bool trouble = std::string(argv[5]) != "0";
    record_file record(argv[4]);
    boost::asio::io_context io { 1 };
    platform_store store(io);
    std::mutex mutex;
    std::map<std::string, std::string> sentBodies; // by request id
    int smuggled = 0;
    int changed = 0;
    int runs = 0;
    std::vector<std::unique_ptr<platform_searcher>> searchers;
    for (int index = 0; index < 2; ++index) {
        searchers.push_back(std::make_unique<platform_searcher>(io, "i-" + std::to_string(index), "a"));
        searchers.back()->onArrival([&, index](const http_request& request, bool ran) {
            if (!ran)
                return;
            const std::lock_guard lock(mutex);
            ++runs;
            const auto id = request.field("Request-Id");
            const auto sent = sentBodies.find(id);
            std::string verdict = "as sent";
            if (sent == sentBodies.end()) {
                ++smuggled;
                verdict = "BROKEN: no requester sent a request with this id";
            } else if (sent->second != request.body) {
                ++changed;
                verdict = "BROKEN: body changed, " + std::to_string(sent->second.size()) + " bytes were sent";
            }
            record.add("searcher i-" + std::to_string(index) + " runs " + request.method + " " + request.target + " id " + id + " body " + std::to_string(request.body.size()) + " bytes: " + verdict);
        });
        store.put("servers/i-" + std::to_string(index), searchers.back()->entry("commandes", "zone-1"));
    }
    store.put("op/config", configuration);
    std::ofstream(argv[3]) << formatNodeFile({ "front-1", ip, port, store.address() });
    auto work = boost::asio::make_work_guard(io);
    std::thread server([&] { io.run(); });
    int answered = 0;
    const bool ready = waitUntilReady(ip, port + 1, 20s);
    std::this_thread::sleep_for(5s); // stableWindowMs after the start
    for (int round = 0; ready && round < 20; ++round) {
        const auto number = std::to_string(round);
        const std::string body = "POST /order/inside" + number + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: inside-" + number + "\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
        const framing withLength { "length", "Content-Length: " + std::to_string(body.size()) + "\r\n", false };
        const framing inChunks { "chunks", "Transfer-Encoding: chunked\r\n", true };
        const framing unknownCoding { "an unknown transfer coding", "Transfer-Encoding: xchunked\r\n", false };
        const framing codingAfterChunks { "chunks, then another coding", "Transfer-Encoding: chunked, identity\r\n", true };
        const auto& used = trouble ? (round % 2 == 0 ? unknownCoding : codingAfterChunks) : (round % 2 == 0 ? withLength : inChunks);
        const auto id = "outer-" + number;
        {
            const std::lock_guard lock(mutex);
            sentBodies[id] = body;
        }
        record.add("requester sends POST /order/" + number + " id " + id + ", body of " + std::to_string(body.size()) + " bytes framed by " + used.name);
        const int descriptor = connectTo(ip, port);
        if (descriptor < 0)
            continue;
        sendAll(descriptor, "POST /order/" + number + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\n" + used.fields + "\r\n" + (used.chunked ? toChunk(body) : body));
        const auto reply = readUntilSilent(descriptor, 300ms);
        close(descriptor);
        int replies = 0;
        std::string statuses;
        for (auto at = reply.find("HTTP/1.1 "); at != std::string::npos; at = reply.find("HTTP/1.1 ", at + 1), ++replies)
            statuses += " " + reply.substr(at + 9, 3);
        answered += replies > 0 ? 1 : 0;
        record.add("requester gets " + std::to_string(replies) + " answers:" + statuses);
    }
    io.stop();
    server.join();
    const std::string summary = std::to_string(runs) + " runs, " + std::to_string(smuggled) + " of requests that nobody sent, " + std::to_string(changed) + " with another body, " + std::to_string(answered) + " of 20 requests answered";
    record.add(summary);
    std::cout << summary << std::endl;
    if (!ready || (!trouble && answered < 20))
        return 2;
    return smuggled + changed > 0 ? 1 : 0;
}
