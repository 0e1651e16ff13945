#include <atomic>
#include <future>
#include <list>

#include "common.h"
#include "standins/node_file.h"
#include "standins/platform_searcher.h"
#include "standins/platform_store.h"

// A release: three times a new searcher registers, then an old one leaves without draining; its entry is removed and it
// serves on for drainMs and a little longer. With TROUBLE, the store turns the gateway away for some seconds and serves
// it again before each. Usage: store_away IP PORT SETTINGS-FILE RECORD-FILE TROUBLE. Exit: 0 held, 1 broken, 2 could
// not run.

using namespace review;
using namespace limpetpier::standins;

namespace {

constexpr auto drainBound = 3000ms; // drainMs
constexpr auto stableWindow = 4000ms; // stableWindowMs
constexpr auto turnedAway = 5500ms; // how long the store turns the gateway away
constexpr auto servesAfterRemoval = 3900ms; // drainMs and a little longer, then the searcher exits
constexpr int rounds = 3;
constexpr int requesters = 8;

constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"order","host":"search.example","prefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"commandes","maxAttempts":2}],
"services":[{"name":"commandes","healthPath":"/healthz","maxConns":110,"warmupS":3.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// Forwards connections to the store, or resets all of them while the store turns the gateway away.
class store_proxy {
public:
    explicit store_proxy(int storePort)
        : m_storePort(storePort)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener, 64);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] {
            for (;;) {
                const int accepted = accept(m_listener, nullptr, nullptr);
                if (accepted < 0)
                    return;
                std::thread([this, accepted] { forward(accepted); }).detach();
            }
        }).detach();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void turnAway(bool rejects)
    {
        const std::lock_guard lock(m_mutex);
        m_rejects = rejects;
        if (rejects) {
            for (const int descriptor : m_open)
                shutdown(descriptor, SHUT_RDWR);
        }
    }

private:
    void forward(int client)
    {
        const int store = connectTo("127.0.0.1", m_storePort);
        bool open = store >= 0;
        {
            const std::lock_guard lock(m_mutex);
            if (m_rejects)
                open = false;
            else
                m_open.insert(client);
        }
        char buffer[8192];
        while (open) {
            pollfd waiting[2] { { client, POLLIN, 0 }, { store, POLLIN, 0 } };
            poll(waiting, 2, -1);
            for (int side = 0; side < 2 && open; ++side) {
                if (waiting[side].revents == 0)
                    continue;
                const auto count = recv(waiting[side].fd, buffer, sizeof buffer, 0);
                if (count <= 0) {
                    open = false;
                    break;
                }
                sendAll(side == 0 ? store : client, std::string(buffer, static_cast<std::size_t>(count)));
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(client);
            const linger reset { 1, 0 };
            setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        close(client);
        close(store);
    }

    int m_storePort;
    int m_listener;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
    bool m_rejects = false;
};

struct searcher_state {
    std::string id;
    std::unique_ptr<platform_searcher> process;
    std::atomic<bool> removed { false };
    steady::time_point removedAt;
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
    store_proxy proxy(std::stoi(store.address().substr(store.address().rfind(':') + 1)));
    std::atomic<steady::time_point> inTouchFrom { steady::now() };
    std::atomic<int> late { 0 };
    std::atomic<int> arrivals { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> unanswered { 0 };
    std::list<searcher_state> searchers;
    const auto addSearcher = [&] {
        auto& added = searchers.emplace_back();
        added.id = "i-" + std::to_string(searchers.size());
        added.process = std::make_unique<platform_searcher>(io, added.id, "a");
        added.process->answerWithRequestId([] { return limpetpier::milliseconds(20); });
        added.process->onArrival([&](const http_request& request, bool ran) {
            ++arrivals;
            if (!ran || !added.removed)
                return;
            const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - added.removedAt);
            if (since <= drainBound || steady::now() < inTouchFrom.load())
                return;
            ++late;
            record.add("BROKEN: " + added.id + " is sent " + request.field("Request-Id") + " " + std::to_string(since.count()) + " ms after the store removed its entry");
        });
        store.put("servers/" + added.id, added.process->entry("commandes", "zone-1"));
        record.add(added.id + " registers");
    };
    for (int index = 0; index < 3; ++index)
        addSearcher();
    store.put("op/config", configuration);
    std::ofstream(argv[3]) << formatNodeFile({ "front-1", ip, port, proxy.address() });
    auto work = boost::asio::make_work_guard(io);
    std::thread server([&] { io.run(); });
    const bool ready = waitUntilReady(ip, port + 1, 20s);
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients;
    for (int client = 0; ready && client < requesters; ++client) {
        clients.emplace_back([&, client] {
            int descriptor = -1;
            for (int number = 0; !stop; ++number) {
                if (descriptor < 0)
                    descriptor = connectTo(ip, port);
                const auto id = std::to_string(client) + "-" + std::to_string(number);
                sendAll(descriptor, "POST /order/" + id + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody");
                const auto reply = readReply(descriptor, 2000ms);
                const int status = statusOf(reply);
                if (status == 200)
                    ++answered;
                else if (status == 503)
                    ++refused;
                else {
                    ++unanswered;
                    record.add("request " + id + " ends with " + (status == 0 ? "no answer" : std::to_string(status)));
                }
                if (status == 0 || reply.find("Connection: close") != std::string::npos) {
                    close(descriptor);
                    descriptor = -1;
                }
                std::this_thread::sleep_for(40ms);
            }
            close(descriptor);
        });
    }
    std::this_thread::sleep_for(7s);
    for (int round = 0; ready && round < rounds; ++round) {
        if (trouble) {
            record.add("the store turns the gateway away");
            proxy.turnAway(true);
        }
        std::this_thread::sleep_for(turnedAway);
        if (trouble) {
            proxy.turnAway(false);
            inTouchFrom = steady::now() + stableWindow;
            record.add("the store serves the gateway again");
        }
        std::this_thread::sleep_for(1s);
        runOn(io, [&] { addSearcher(); });
        std::this_thread::sleep_for(100ms);
        auto& leaving = *std::next(searchers.begin(), round);
        runOn(io, [&] {
            store.remove("servers/" + leaving.id);
            leaving.removedAt = steady::now();
            leaving.removed = true;
            record.add(leaving.id + " leaves: its entry is removed, it serves on");
        });
        std::this_thread::sleep_for(servesAfterRemoval);
        runOn(io, [&] {
            leaving.process->server().crash();
            record.add(leaving.id + " exits");
        });
        std::this_thread::sleep_for(6s);
    }
    stop = true;
    for (auto& client : clients)
        client.join();
    const auto summary = std::to_string(answered) + " answered, " + std::to_string(refused) + " refused, " + std::to_string(unanswered) + " ended otherwise; " + std::to_string(arrivals) + " arrivals, " + std::to_string(late) + " at a searcher over 3,000 ms after its entry was removed and over 4,000 ms after the disturbance";
    record.add(summary);
    std::cout << summary << std::endl;
    const bool couldRun = ready && answered > 500;
    std::_Exit(!couldRun ? 2 : (late > 0 ? 1 : 0));
}
