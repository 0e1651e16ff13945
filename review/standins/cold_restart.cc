#include <atomic>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <random>

#include "common.h"
#include "limpetpier/transport/http_format.h"
#include "standins/node_file.h"
#include "standins/platform_store.h"
#include "standins/raw_server.h"

// Four searchers of one service behind several gateways. With TROUBLE, searchers crash one after the other and start
// again at once under their id, cold. The searchers of another service are being released all the while. Usage:
// cold_restart IP PORT SETTINGS-FILE RECORD-FILE TROUBLE. Exit: 0 held, 1 broken, 2 could not run.

using namespace review;
using namespace limpetpier::standins;

namespace {

constexpr int gateways = 6;
constexpr int searcherCount = 4;
constexpr int restarts = 16;
constexpr auto warmup = 3000ms; // warmupS
constexpr auto idleTimeout = 1000ms; // stated in Keep-Alive
constexpr std::size_t coldBound = 5; // coldPerS x coldOvershoot + coldSlack
constexpr double requestsPerSecond = 22.5;

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"order","host":"search.example","prefix":"/order/","type":"safe","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"commandes","maxAttempts":2}],
"services":[{"name":"commandes","healthPath":"/healthz","maxConns":110,"warmupS":3.0,"coldPerS":0.0},{"name":"livraison","healthPath":"/healthz","maxConns":110,"warmupS":3.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct searcher {
    std::string id;
    unsigned short port = 0;
    std::unique_ptr<raw_server> server;
    int boot = 0;
    long stamps = 0;
    steady::time_point coldUntil {};
    std::deque<steady::time_point> recent; // arrivals of the last second while cold
    std::map<raw_exchange_handle, steady::time_point> idleSince;

    [[nodiscard]] long coldLeft() const { return std::max<long>(0, std::chrono::duration_cast<std::chrono::milliseconds>(coldUntil - steady::now()).count()); }
};

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
    std::atomic<int> beyond { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> notAnswered { 0 };
    std::list<searcher> searchers;
    std::list<std::unique_ptr<raw_server>> ended;
    long boots = 1700000000000;
    const auto reply = [&](searcher& self, const raw_exchange_handle& exchange, unsigned status, std::vector<limpetpier::http_field> fields, const std::string& body) {
        limpetpier::http_reply message;
        message.status = status;
        message.fields = std::move(fields);
        message.fields.push_back({ "Keep-Alive", "timeout=" + std::to_string(idleTimeout.count() / 1000) });
        message.body = body;
        exchange->send(limpetpier::formatReply(message, false), false);
        self.idleSince[exchange] = steady::now();
    };
    const auto handle = [&](searcher& self, const http_request& request, const raw_exchange_handle& exchange) {
        self.idleSince.erase(exchange);
        if (request.target == "/healthz") {
            reply(self, exchange, 200, { { "Instance-Id", self.id }, { "Cold-Ms", std::to_string(self.coldLeft()) } }, "");
            return;
        }
        const auto now = steady::now();
        if (now <= self.coldUntil) {
            self.recent.push_back(now);
            while (now - self.recent.front() > 1s)
                self.recent.pop_front();
            record.add("cold " + self.id + " gets " + request.field("Request-Id"));
            if (self.recent.size() > coldBound) {
                ++beyond;
                record.add("BROKEN: " + std::to_string(self.recent.size()) + " requests reached the cold " + self.id + " in one second");
            }
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io, 60ms);
        timer->async_wait([&, timer, boot = self.boot, request, exchange](const boost::system::error_code&) {
            if (boot != self.boot || !exchange->isOpen())
                return;
            reply(self, exchange, 200, { { "Request-Id", request.field("Request-Id") }, { "Response-Stamp", self.id + "." + std::to_string(self.boot) + "." + std::to_string(++self.stamps) } }, "answer");
        });
    };
    const auto writeEntry = [&](const std::string& id, const std::string& service, const std::string& address, long coldLeft, long born) {
        store.put("servers/" + id, R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"zone-1","version":"v1","slots":4,"state":"ready","coldLeftMs":)" + std::to_string(coldLeft) + R"(,"seq":1,"born":)" + std::to_string(born) + "}");
    };
    const auto start = [&](searcher& self, std::chrono::milliseconds cold) {
        if (self.server) {
            self.server->crash();
            ended.push_back(std::move(self.server));
        }
        ++self.boot;
        self.idleSince.clear();
        self.recent.clear();
        self.coldUntil = steady::now() + cold;
        self.server = std::make_unique<raw_server>(io, self.port, [&](const http_request& request, const raw_exchange_handle& exchange) { handle(self, request, exchange); });
        const auto address = self.server->address();
        self.port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
        writeEntry(self.id, "commandes", address, cold.count(), ++boots);
        record.add(self.id + " starts and registers, cold for " + std::to_string(cold.count()) + " ms");
    };
    for (int index = 0; index < searcherCount; ++index) {
        searchers.emplace_back().id = "i-" + std::to_string(index);
        start(searchers.back(), 0ms);
    }
    store.put("op/config", configuration);
    for (int index = 0; index < gateways; ++index) {
        const auto dot = ip.rfind('.');
        const auto own = ip.substr(0, dot + 1) + std::to_string(std::stoi(ip.substr(dot + 1)) + index);
        const auto file = std::string(argv[3]) + (index == 0 ? "" : "." + std::to_string(index));
        std::ofstream(file) << formatNodeFile({ "front-" + std::to_string(index), own, port, store.address() });
    }
    // Closes idle connections, as a sound server does.
    boost::asio::steady_timer idleTimer(io);
    std::function<void()> closeIdle = [&] {
        for (auto& self : searchers) {
            for (auto entry = self.idleSince.begin(); entry != self.idleSince.end();) {
                const auto next = std::next(entry);
                if (!entry->first->isOpen() || steady::now() - entry->second >= idleTimeout) {
                    entry->first->send("", true);
                    self.idleSince.erase(entry);
                }
                entry = next;
            }
        }
        idleTimer.expires_after(50ms);
        idleTimer.async_wait([&](const boost::system::error_code&) { closeIdle(); });
    };
    closeIdle();
    // The release of another service: a searcher every 400 ms, alternately a new one registers and an old one leaves.
    boost::asio::steady_timer releaseTimer(io);
    int released = 0;
    std::list<raw_server> others; // of the other service; they get no requests
    std::function<void()> release = [&] {
        const auto number = released / 2;
        if (released++ % 2 == 0) {
            others.emplace_back(io, 0, [](const http_request&, const raw_exchange_handle&) {});
            writeEntry("l-" + std::to_string(number), "livraison", others.back().address(), 3000, ++boots);
        } else
            store.remove("servers/l-" + std::to_string(number - 2));
        if (others.size() > 50)
            others.pop_front();
        releaseTimer.expires_after(400ms);
        releaseTimer.async_wait([&](const boost::system::error_code&) { release(); });
    };
    release();
    std::thread server([&] { io.run(); });
    bool ready = true;
    std::vector<std::string> addresses;
    for (int index = 0; index < gateways; ++index) {
        const auto dot = ip.rfind('.');
        addresses.push_back(ip.substr(0, dot + 1) + std::to_string(std::stoi(ip.substr(dot + 1)) + index));
        ready = ready && waitUntilReady(addresses.back(), port + 1, 20s);
    }
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients; // requests at random times, each on a connection of its own
    for (int index = 0; ready && index < gateways; ++index) {
        clients.emplace_back([&, index] {
            std::mt19937 random(static_cast<unsigned>(index));
            std::exponential_distribution<double> pause(requestsPerSecond / gateways);
            std::list<std::thread> running;
            for (int number = 0; !stop; ++number) {
                std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
                const auto id = std::to_string(index) + "-" + std::to_string(number);
                running.emplace_back([&, id] {
                    const int descriptor = connectTo(addresses[static_cast<std::size_t>(index)], port);
                    sendAll(descriptor, "GET /order/" + id + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n");
                    (statusOf(readReply(descriptor, 2000ms)) == 200 ? answered : notAnswered)++;
                    close(descriptor);
                });
                while (running.size() > 50) {
                    running.front().join();
                    running.pop_front();
                }
            }
            for (auto& request : running)
                request.join();
        });
    }
    std::this_thread::sleep_for(7s);
    std::mt19937 random(7);
    int broken = 0;
    for (int round = 0; ready && round < restarts; ++round) {
        const int before = beyond;
        if (trouble)
            runOn(io, [&] { start(*std::next(searchers.begin(), round % searcherCount), warmup); });
        std::this_thread::sleep_for(std::chrono::milliseconds(4500 + std::uniform_int_distribution<int>(0, 800)(random)));
        broken += beyond > before ? 1 : 0;
    }
    stop = true;
    for (auto& client : clients)
        client.join();
    const auto summary = std::to_string(answered) + " answered, " + std::to_string(notAnswered) + " not; " + std::to_string(beyond) + " requests beyond " + std::to_string(coldBound) + " in one second at a cold searcher, after " + std::to_string(broken) + " of " + std::to_string(restarts) + " restarts";
    record.add(summary);
    std::cout << summary << std::endl;
    std::_Exit(!ready || answered < 500 ? 2 : (beyond > 0 ? 1 : 0));
}
