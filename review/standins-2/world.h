// Stand-ins of the platform for the cases of this review: the store, searchers, the entry with its requesters, and the
// start of gateway processes. Everything runs on one thread and on loopback addresses. Only Boost is used.

#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using asio::awaitable;
using asio::use_awaitable;
using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using ms = std::chrono::milliseconds;

inline const time_point startedAt = clock_type::now();
inline double seconds(time_point at) { return std::chrono::duration<double>(at - startedAt).count(); }
inline double now() { return seconds(clock_type::now()); }

// Writes record.txt.
class record_file {
public:
    void open(const std::string& path) { m_file.open(path); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char stamped[1100];
        std::snprintf(stamped, sizeof stamped, "%9.3f  %s\n", now(), text);
        m_file << stamped;
        m_file.flush();
    }

private:
    std::ofstream m_file;
};
inline record_file record;

inline awaitable<void> sleepFor(ms time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(use_awaitable);
}

inline std::string encodeBase64(const std::string& bytes)
{
    std::string out(beast::detail::base64::encoded_size(bytes.size()), '\0');
    out.resize(beast::detail::base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

using request_type = http::request<http::string_body>;
using reply_type = http::response<http::string_body>;

inline reply_type makeReply(unsigned status, std::string body, const char* type = "application/json")
{
    reply_type reply(static_cast<http::status>(status), 11);
    reply.set(http::field::content_type, type);
    reply.body() = std::move(body);
    reply.keep_alive(true);
    reply.prepare_payload();
    return reply;
}

// A small HTTP server. A handler that returns nothing closes the connection without an answer.
class server {
public:
    using handler = std::function<awaitable<std::optional<reply_type>>(request_type&, bool& gone)>;

    server(asio::io_context& io, const std::string& ip, unsigned short port, handler handle)
        : m_acceptor(io, tcp::endpoint(asio::ip::make_address(ip), port))
        , m_endpoint(m_acceptor.local_endpoint())
        , m_handle(std::move(handle))
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const { return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port()); }

    // Refuses new connections from now on.
    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    // Closes all connections and refuses new ones, until startAgain.
    void crash()
    {
        stop();
        boost::system::error_code ignored;
        for (auto* socket : m_sockets)
            socket->close(ignored);
    }

    asio::any_io_executor executor() { return m_acceptor.get_executor(); }

    void startAgain()
    {
        m_acceptor.open(m_endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_endpoint);
        m_acceptor.listen();
        asio::co_spawn(m_acceptor.get_executor(), accept(), asio::detached);
    }

private:
    awaitable<void> accept()
    {
        try {
            for (;;) {
                auto socket = co_await m_acceptor.async_accept(use_awaitable);
                socket.set_option(tcp::no_delay(true));
                asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
            }
        } catch (const std::exception&) {
            // stopped
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        m_sockets.insert(&socket);
        try {
            beast::flat_buffer buffer;
            for (;;) {
                request_type request;
                co_await http::async_read(socket, buffer, request, use_awaitable);
                bool gone = false;
                auto reply = co_await m_handle(request, gone);
                if (!reply)
                    break;
                const bool keep = reply->keep_alive();
                co_await http::async_write(socket, *reply, use_awaitable);
                if (!keep)
                    break;
            }
        } catch (const std::exception&) {
            // the peer closed the connection, or crash did
        }
        m_sockets.erase(&socket);
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::set<tcp::socket*> m_sockets; // open connections
    handler m_handle;
};

// The platform's store as PROTOCOL.md describes it: leases that run from the arrival of a call, watches, transactions.
// Each gateway has an address of its own to it, so that it can turn one away.
class store {
public:
    explicit store(asio::io_context& io)
        : m_io(io)
    {
        asio::co_spawn(io, expire(), asio::detached);
    }

    std::string addAddress(const std::string& ip, const std::string& caller)
    {
        m_servers.push_back(std::make_unique<server>(m_io, ip, 0, [this, caller](request_type& request, bool&) { return handle(request, caller); }));
        return m_servers.back()->address();
    }

    void put(const std::string& key, const std::string& value) { write(key, encodeBase64(value), 0); }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_history.push_back({ key, {}, ++m_revision, true });
        m_changed();
    }

    [[nodiscard]] bool holds(const std::string& key) const { return m_items.contains(key); }
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const
    {
        std::vector<std::string> result;
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix))
                result.push_back(key);
        }
        return result;
    }

    // Lets the next transaction of a caller be done only after this time, and closes its connection without an answer.
    void loseNextWrite(const std::string& caller, ms doneAfter) { m_lateWrites[caller] = doneAfter; }

    // Rejects all calls of a caller with 503 while set.
    void reject(const std::string& caller, bool rejected)
    {
        if (rejected)
            m_rejected.insert(caller);
        else
            m_rejected.erase(caller);
        m_changed();
    }

private:
    struct item {
        std::string value;
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        item state;
        std::uint64_t rev = 0;
        bool deleted = false;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::size_t at = query + 1;
        while (at < target.size()) {
            const auto end = std::min(target.find('&', at), target.size());
            const auto pair = target.substr(at, end - at);
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos)
                return pair.substr(equals + 1);
            at = end + 1;
        }
        return {};
    }

    json::object describe(const std::string& key, const item& state) const
    {
        return { { "key", key }, { "value", state.value }, { "rev", state.rev }, { "created", state.created }, { "lease", state.lease } };
    }

    awaitable<std::optional<reply_type>> handle(request_type& request, const std::string& caller)
    {
        co_await sleepFor(ms(4)); // a call takes 4 ms, as the sites say
        if (m_rejected.contains(caller))
            co_return makeReply(503, "{}");
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (path == "/kv-key") {
            const auto found = m_items.find(parameter(target, "key"));
            if (found == m_items.end())
                co_return makeReply(404, json::serialize(json::object { { "at", m_revision } }));
            auto body = describe(found->first, found->second);
            body["at"] = m_revision;
            co_return makeReply(200, json::serialize(body));
        }
        if (path == "/kv-range") {
            const auto prefix = parameter(target, "prefix");
            json::array items;
            for (const auto& [key, state] : m_items) {
                if (key.starts_with(prefix))
                    items.push_back(describe(key, state));
            }
            co_return makeReply(200, json::serialize(json::object { { "items", items }, { "morePages", false }, { "at", m_revision } }));
        }
        if (path == "/kv-watch")
            co_return co_await watch(target, caller);
        if (path == "/kv-lease") {
            const ms ttl(json::parse(request.body()).at("ttlMs").to_number<std::int64_t>());
            m_leases[++m_lastLease] = { ttl, clock_type::now() + ttl };
            record.line("store: %s is granted lease %llu for %lld ms", caller.c_str(), static_cast<unsigned long long>(m_lastLease), static_cast<long long>(ttl.count()));
            co_return makeReply(200, json::serialize(json::object { { "lease", m_lastLease }, { "ttlMs", ttl.count() } }));
        }
        if (path.starts_with("/kv-keep/")) {
            const auto found = m_leases.find(std::stoull(path.substr(9)));
            if (found == m_leases.end())
                co_return makeReply(404, "{}");
            found->second.until = clock_type::now() + found->second.ttl;
            co_return makeReply(200, json::serialize(json::object { { "ttlMs", found->second.ttl.count() } }));
        }
        if (path.starts_with("/kv-lease-end/")) {
            const auto lease = std::stoull(path.substr(14));
            record.line("store: %s ends lease %llu", caller.c_str(), static_cast<unsigned long long>(lease));
            end(lease);
            co_return makeReply(200, "{}");
        }
        if (path == "/kv-txn") {
            const auto late = m_lateWrites.find(caller);
            if (late == m_lateWrites.end())
                co_return transact(request.body(), caller);
            const auto delay = late->second;
            m_lateWrites.erase(late);
            record.line("store: a write of %s gets no answer and is done %lld ms later", caller.c_str(), static_cast<long long>(delay.count()));
            asio::co_spawn(m_io, transactLater(request.body(), caller, delay), asio::detached);
            co_return std::nullopt;
        }
        co_return makeReply(404, "{}");
    }

    awaitable<void> transactLater(std::string body, std::string caller, ms delay)
    {
        co_await sleepFor(delay);
        const auto reply = transact(body, caller);
        record.line("store: the late write of %s is done now, status %u", caller.c_str(), reply.result_int());
    }

    reply_type transact(const std::string& body, const std::string& caller)
    {
        const auto call = json::parse(body);
        bool holds = true;
        json::array found;
        for (const auto& row : call.at("expected").as_array()) {
            const auto key = json::value_to<std::string>(row.at("key"));
            const auto item = m_items.find(key);
            holds = holds && (item == m_items.end() ? 0 : item->second.rev) == row.at("rev").to_number<std::uint64_t>();
            if (item != m_items.end())
                found.push_back(describe(key, item->second));
        }
        if (!holds)
            return makeReply(412, json::serialize(json::object { { "items", found } }));
        for (const auto& row : call.at("writes").as_array()) {
            const auto lease = row.at("lease").to_number<std::uint64_t>();
            if (lease != 0 && !m_leases.contains(lease))
                return makeReply(404, "{}");
        }
        for (const auto& row : call.at("writes").as_array()) {
            const auto key = json::value_to<std::string>(row.at("key"));
            const auto lease = row.at("lease").to_number<std::uint64_t>();
            record.line("store: %s writes %s under lease %llu", caller.c_str(), key.c_str(), static_cast<unsigned long long>(lease));
            write(key, json::value_to<std::string>(row.at("value")), lease);
        }
        for (const auto& key : call.at("remove").as_array())
            remove(json::value_to<std::string>(key));
        return makeReply(200, json::serialize(json::object { { "rev", m_revision } }));
    }

    void write(const std::string& key, const std::string& encoded, std::uint64_t lease)
    {
        auto& state = m_items[key];
        state.value = encoded;
        state.rev = ++m_revision;
        if (state.created == 0)
            state.created = m_revision;
        state.lease = lease;
        m_history.push_back({ key, state, m_revision, false });
        m_changed();
    }

    awaitable<std::optional<reply_type>> watch(std::string target, std::string caller)
    {
        const auto prefix = parameter(target, "prefix");
        const auto after = std::stoull(parameter(target, "after"));
        const auto until = clock_type::now() + ms(std::stoll(parameter(target, "waitMs")));
        for (;;) {
            if (m_rejected.contains(caller))
                co_return std::nullopt; // a watch that is waiting may be cut
            json::array events;
            for (const auto& change : m_history) {
                if (change.rev <= after || !change.key.starts_with(prefix))
                    continue;
                if (change.deleted)
                    events.push_back(json::object { { "key", change.key }, { "rev", change.rev }, { "deleted", true } });
                else
                    events.push_back(describe(change.key, change.state));
            }
            if (!events.empty() || clock_type::now() >= until)
                co_return makeReply(200, json::serialize(json::object { { "events", events }, { "at", m_revision } }));
            co_await sleepFor(ms(5));
        }
    }

    void end(std::uint64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> ended;
        for (const auto& [key, state] : m_items) {
            if (state.lease == lease)
                ended.push_back(key);
        }
        for (const auto& key : ended) {
            record.line("store: %s ends with lease %llu", key.c_str(), static_cast<unsigned long long>(lease));
            remove(key);
        }
    }

    awaitable<void> expire()
    {
        for (;;) {
            co_await sleepFor(ms(20));
            std::vector<std::uint64_t> ended;
            for (const auto& [lease, state] : m_leases) {
                if (state.until <= clock_type::now())
                    ended.push_back(lease);
            }
            for (const auto lease : ended)
                end(lease);
        }
    }

    void m_changed() { }

    struct lease_state {
        ms ttl {};
        time_point until;
    };

    asio::io_context& m_io;
    std::vector<std::unique_ptr<server>> m_servers;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::map<std::uint64_t, lease_state> m_leases;
    std::uint64_t m_lastLease = 100;
    std::uint64_t m_revision = 1;
    std::map<std::string, ms> m_lateWrites;
    std::set<std::string> m_rejected;
};

// What the requesters sent.
struct sent_request {
    time_point sentAt;
    std::string gateway;
};
inline std::map<std::string, sent_request> sentRequests; // by Request-Id

// An arrival at a searcher that is run or rejected as full.
struct arrival {
    time_point at;
    time_point sentAt; // by the requester
    std::string gateway;
};

// The most requests that were sent and arrived inside one second.
struct busiest_second {
    std::size_t count = 0;
    time_point begin;
    std::map<std::string, std::size_t> byGateway;
};

inline busiest_second findBusiestSecond(const std::vector<arrival>& arrivals)
{
    busiest_second best;
    constexpr auto window = std::chrono::seconds(1);
    for (const auto& first : arrivals) {
        // The window begins when this request was sent; counted are those sent and arrived in it.
        const auto begin = first.sentAt;
        busiest_second current;
        current.begin = begin;
        for (const auto& each : arrivals) {
            if (each.sentAt >= begin && each.at <= begin + window) {
                ++current.count;
                ++current.byGateway[each.gateway];
            }
        }
        if (current.count > best.count)
            best = std::move(current);
    }
    return best;
}

// A searcher that runs each request for a time, with a number of slots and a short queue. It writes its entry to the store
// at every heartbeat; the entry changes when more than its count changes. It crashes when it gets, while cold, a tenth more
// than the rules allow in a second.
class searcher {
public:
    struct properties {
        std::string id;
        std::string service;
        std::string zone;
        std::uint32_t slots = 4;
        ms workTime { 5 };
        ms coldTime { 0 };
        double coldBound = 0; // requests a second that the rules allow while it is cold
    };

    searcher(asio::io_context& io, store& keptIn, const std::string& ip, properties values)
        : m_store(keptIn)
        , m_values(std::move(values))
        , m_bornMs(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_server(io, ip, 0, [this](request_type& request, bool&) { return handle(request); })
    {
        m_coldUntil = clock_type::now() + m_values.coldTime;
        asio::co_spawn(io, beat(m_start), asio::detached);
    }

    // Ends the process without a word: all connections close, and the work is lost.
    void crash()
    {
        record.line("searcher %s crashes", m_values.id.c_str());
        ++m_start;
        m_isDown = true;
        m_server.crash();
        m_atWork.clear();
    }

    // Starts the process again after crash, under the same id and address and cold. It writes its entry at once.
    void startAgain(ms coldTime)
    {
        m_isDown = false;
        m_values.coldTime = coldTime;
        m_bornMs = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_draining = false;
        m_seq = 0;
        m_written = -1;
        m_coldUntil = clock_type::now() + m_values.coldTime;
        m_coldArrivals.clear(); // counted are those of one process only
        record.line("searcher %s starts again, cold for %lld ms", m_values.id.c_str(), static_cast<long long>(m_values.coldTime.count()));
        m_server.startAgain();
        asio::co_spawn(m_server.executor(), beat(m_start), asio::detached);
    }

    // Reports draining at once.
    void drain()
    {
        m_draining = true;
        record.line("searcher %s reports draining", m_values.id.c_str());
        writeEntry();
    }

    // Becomes cold again for its cold time.
    void becomeCold() { m_coldUntil = clock_type::now() + m_values.coldTime; }

    [[nodiscard]] bool isCold(time_point at) const { return at < m_coldUntil; }
    [[nodiscard]] const std::vector<arrival>& coldArrivals() const { return m_coldArrivals; }
    [[nodiscard]] const std::string& id() const { return m_values.id; }
    [[nodiscard]] const std::set<std::string>& lostWork() const { return m_lostWork; }

private:
    [[nodiscard]] std::int64_t coldLeft() const { return std::max<std::int64_t>(0, std::chrono::duration_cast<ms>(m_coldUntil - clock_type::now()).count()); }

    void writeEntry()
    {
        m_written = coldLeft();
        m_store.put("servers/" + m_values.id, json::serialize(json::object { { "service", m_values.service }, { "address", m_server.address() }, { "zone", m_values.zone }, { "version", "v1" }, { "slots", m_values.slots }, { "state", m_draining ? "draining" : "ready" }, { "coldLeftMs", m_written }, { "seq", ++m_seq }, { "born", m_bornMs } }));
        if (m_values.coldTime.count() > 0)
            record.line("searcher %s: heartbeat, cold for %lld ms more", m_values.id.c_str(), static_cast<long long>(m_written));
    }

    awaitable<void> beat(std::uint64_t start)
    {
        while (!m_crashed && start == m_start) {
            if (coldLeft() != m_written)
                writeEntry();
            co_await sleepFor(ms(1200));
        }
        co_await sleepFor(ms(3600)); // three heartbeats of silence
        if (m_crashed || m_isDown)
            m_store.remove("servers/" + m_values.id);
    }

    void recordColdArrival(const std::string& id)
    {
        const auto sent = sentRequests.find(id);
        const auto at = clock_type::now();
        if (!isCold(at) || sent == sentRequests.end())
            return;
        m_coldArrivals.push_back({ at, sent->second.sentAt, sent->second.gateway });
        const auto inSecond = std::count_if(m_coldArrivals.begin(), m_coldArrivals.end(), [&](const arrival& each) { return each.sentAt >= at - std::chrono::seconds(1); });
        if (static_cast<double>(inSecond) <= 1.1 * m_values.coldBound || m_crashed)
            return;
        m_crashed = true;
        m_server.stop();
        m_lostWork = m_atWork;
        record.line("searcher %s: crashes, as %zd requests came in a second while it is cold; %zu requests that it had taken are lost", m_values.id.c_str(), static_cast<std::ptrdiff_t>(inSecond), m_lostWork.size());
    }

    awaitable<std::optional<reply_type>> handle(request_type& request)
    {
        if (m_crashed)
            co_return std::nullopt;
        if (request.target() == "/healthz") {
            auto reply = makeReply(200, "", "text/plain");
            reply.set("Instance-Id", m_values.id);
            reply.set("Cold-Ms", std::to_string(coldLeft()));
            co_return reply;
        }
        const std::string id(request["Request-Id"]);
        if (request["Target-Instance"] != m_values.id) {
            auto reply = makeReply(421, "", "text/plain");
            reply.set("Instance-Id", m_values.id);
            co_return reply;
        }
        if (m_atWork.size() >= m_values.slots + queueLength) {
            recordColdArrival(id);
            auto reply = makeReply(503, "", "text/plain");
            reply.set("Not-Executed", "1");
            reply.set("Request-Id", id);
            co_return reply;
        }
        m_atWork.insert(id);
        recordColdArrival(id);
        while (m_busy >= m_values.slots)
            co_await sleepFor(ms(1));
        ++m_busy;
        co_await sleepFor(m_values.workTime);
        --m_busy;
        m_atWork.erase(id);
        if (m_crashed)
            co_return std::nullopt;
        auto reply = makeReply(200, "result of " + id, "application/octet-stream");
        reply.set("Request-Id", id);
        reply.set("Response-Stamp", m_values.id + "." + std::to_string(++m_stamps));
        co_return reply;
    }

    static constexpr std::size_t queueLength = 12;

    store& m_store;
    properties m_values;
    std::int64_t m_bornMs;
    time_point m_coldUntil;
    bool m_crashed = false; // for good, after too many requests
    bool m_isDown = false; // between crash and startAgain
    bool m_draining = false;
    std::uint64_t m_start = 0; // number of crashes so far
    std::uint64_t m_seq = 0;
    std::int64_t m_written = -1; // cold time in the entry
    std::set<std::string> m_atWork;
    std::set<std::string> m_lostWork;
    std::uint32_t m_busy = 0;
    std::uint64_t m_stamps = 0;
    std::vector<arrival> m_coldArrivals;
    server m_server;
};

// A gateway process, started with the command of the deploy file.
class gateway {
public:
    gateway(std::string node, std::string ip, std::string zone, std::vector<std::string> command)
        : node(std::move(node))
        , ip(std::move(ip))
        , zone(std::move(zone))
        , m_command(std::move(command))
    {
    }

    // boundMs: of draining and of a configuration.
    void writeSettings(const std::string& folder, const std::string& storeAddress, const std::vector<std::string>& seedIps, int boundMs)
    {
        m_settings = folder + "/" + node + ".toml";
        m_log = folder + "/" + node + ".log";
        std::string seeds;
        for (const auto& seed : seedIps)
            seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":8106\"";
        std::ofstream(m_settings) << "nodeName = \"" << node << "\"\nrole = \"gateway\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\nip = \"" << ip << "\"\nzone = \"" << zone
                                  << "\"\nregion = \"region-1\"\ninternalPorts = [7380,7395]\nseeds = [" << seeds << "]\nbootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
                                  << "[zones]\nzone-a = \"region-1\"\nzone-b = \"region-1\"\nzone-c = \"region-1\"\nzone-d = \"region-1\"\n"
                                  << "[listenAddrs]\nfront = \"" << ip << ":8104\"\nreadyAddr = \"" << ip << ":8108\"\ncontrol = \"" << ip << ":8106\"\n"
                                  << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 1000\nlinkMbps = 1000.0\ndiskMb = 0\n"
                                  << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
                                  << "[bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = " << boundMs << "\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = " << boundMs << "\ndowngradeMs = 250\nmaxSkewMs = 12000\nretryBudget = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\ncoldOvershoot = 1.5\ncoldSlack = 5\nevacMs = 5000\nrecoverS = 12\n"
                                  << "[platform]\naddress = \"" << storeAddress << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    }

    void start()
    {
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        const auto parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(3);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (int descriptor = 3; descriptor < 1024; ++descriptor)
                ::close(descriptor);
            ::setenv("LIMPETPIER_NODE_FILE", m_settings.c_str(), 1);
            ::setenv("LIMPET_NODE_SECRET", "set-one-for-each-deployment", 1);
            std::vector<char*> arguments;
            for (auto& word : m_command)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(3);
        }
        ::close(log);
        record.line("%s: process %d starts", node.c_str(), m_pid);
    }

    void signal(int number) const
    {
        record.line("%s: signal %d", node.c_str(), number);
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // True once the process has ended.
    bool hasEnded()
    {
        if (m_pid <= 0)
            return true;
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            record.line("%s: process %d ended, status %d", node.c_str(), m_pid, status);
            m_pid = -1;
            return true;
        }
        return false;
    }

    void end()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
    }

    std::string node;
    std::string ip;
    std::string zone;
    bool inRotation = false;
    bool wasReady = false;
    int misses = 0;

private:
    std::vector<std::string> m_command;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// The entry: asks each gateway once a second whether it is ready, and takes it out after two misses in a row.
class entry {
public:
    entry(asio::io_context& io, std::vector<std::unique_ptr<gateway>>& gateways)
        : m_io(io)
        , m_gateways(gateways)
    {
        for (auto& each : gateways)
            add(*each);
    }

    // Checks one more gateway from now on.
    void add(gateway& added) { asio::co_spawn(m_io, check(added), asio::detached); }

    // Picks the gateway for a new connection by a hash of the requester, as the platform does: among those of its zone that
    // are in rotation, among all of the zone if fewer than half are, and among those of other zones if none is. Null if no
    // gateway is in rotation.
    gateway* pick(const std::string& zone, std::size_t hash)
    {
        std::vector<gateway*> own;
        std::vector<gateway*> ownInRotation;
        std::vector<gateway*> others;
        for (auto& each : m_gateways) {
            if (each->zone == zone)
                own.push_back(each.get());
            if (each->zone == zone && each->inRotation)
                ownInRotation.push_back(each.get());
            if (each->zone != zone && each->inRotation)
                others.push_back(each.get());
        }
        const auto& from = ownInRotation.empty() ? others : (2 * ownInRotation.size() < own.size() ? own : ownInRotation);
        return from.empty() ? nullptr : from[hash % from.size()];
    }

private:
    awaitable<void> check(gateway& checked)
    {
        for (;;) {
            const bool ready = co_await ask(checked);
            checked.misses = ready ? 0 : checked.misses + 1;
            if (ready != checked.wasReady)
                record.line("entry: %s answers %s", checked.node.c_str(), ready ? "ready" : "not ready");
            checked.wasReady = ready;
            if (ready || checked.misses >= 2)
                checked.inRotation = ready;
            co_await sleepFor(ms(1000));
        }
    }

    static awaitable<bool> ask(gateway& checked)
    {
        try {
            beast::tcp_stream stream(co_await asio::this_coro::executor);
            stream.expires_after(ms(900));
            co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(checked.ip), 8108), use_awaitable);
            http::request<http::empty_body> request(http::verb::get, "/readyz", 11);
            request.set(http::field::host, checked.ip);
            request.keep_alive(false);
            co_await http::async_write(stream, request, use_awaitable);
            beast::flat_buffer buffer;
            reply_type reply;
            co_await http::async_read(stream, buffer, reply, use_awaitable);
            co_return reply.result_int() == 200;
        } catch (const std::exception&) {
            co_return false;
        }
    }

    asio::io_context& m_io;
    std::vector<std::unique_ptr<gateway>>& m_gateways;
};

struct request_spec {
    std::string host = "search.example";
    std::string path;
    std::string method = "GET";
    std::string body;
    std::string authorization; // empty: none
    int deadlineMs = 1000;
};

struct request_totals {
    std::map<std::string, std::size_t> byStatus;
    std::map<std::string, std::string> failed; // status by Request-Id of requests without a success
};

// A requester: sends requests one after another on kept connections, at a pace.
class requester {
public:
    requester(asio::io_context& io, entry& platform, std::string zone, std::size_t number, request_spec spec, ms pause, std::size_t keptFor, request_totals& totals, const bool& stopped)
        : m_entry(platform)
        , m_zone(std::move(zone))
        , m_number(number)
        , m_spec(std::move(spec))
        , m_pause(pause)
        , m_keptFor(keptFor)
        , m_totals(totals)
        , m_stopped(stopped)
        , m_random(static_cast<unsigned>(number + 1))
    {
        asio::co_spawn(io, run(), asio::detached);
    }

private:
    std::string nextId()
    {
        char text[40];
        std::snprintf(text, sizeof text, "%c%04zu-%08zx", m_zone.back(), m_number, ++m_count);
        return text;
    }

    awaitable<void> run()
    {
        co_await sleepFor(ms(m_random() % std::max<std::int64_t>(m_pause.count(), 1)));
        std::optional<beast::tcp_stream> stream;
        std::string gatewayName;
        beast::flat_buffer buffer;
        std::size_t onConnection = 0;
        while (!m_stopped) {
            const auto begun = clock_type::now();
            const auto id = nextId();
            std::string status = "no connection";
            try {
                if (!stream) {
                    auto* chosen = m_entry.pick(m_zone, m_number);
                    if (chosen == nullptr) {
                        co_await sleepFor(ms(50));
                        continue;
                    }
                    gatewayName = chosen->node;
                    stream.emplace(co_await asio::this_coro::executor);
                    buffer.clear();
                    stream->expires_after(ms(1000));
                    co_await stream->async_connect(tcp::endpoint(asio::ip::make_address(chosen->ip), 8104), use_awaitable);
                    stream->socket().set_option(tcp::no_delay(true));
                }
                request_type request(http::string_to_verb(m_spec.method), m_spec.path + id, 11);
                request.set(http::field::host, m_spec.host);
                request.set("Request-Id", id);
                request.set("Deadline-Ms", std::to_string(m_spec.deadlineMs));
                if (!m_spec.authorization.empty())
                    request.set(http::field::authorization, m_spec.authorization);
                request.body() = m_spec.body;
                if (!m_spec.body.empty() || m_spec.method != "GET")
                    request.prepare_payload();
                sentRequests[id] = { clock_type::now(), gatewayName };
                status = "closed";
                stream->expires_after(ms(m_spec.deadlineMs));
                co_await http::async_write(*stream, request, use_awaitable);
                reply_type reply;
                co_await http::async_read(*stream, buffer, reply, use_awaitable);
                status = std::to_string(reply.result_int());
                if (!reply.keep_alive() || ++onConnection >= m_keptFor) {
                    stream.reset(); // requesters also open new connections
                    onConnection = 0;
                }
            } catch (const std::exception&) {
                stream.reset();
            }
            ++m_totals.byStatus[status];
            if (status != "200")
                m_totals.failed[id] = status;
            // A failed attempt is followed by a short pause: the requester gives its request up and goes on.
            const auto next = begun + m_pause + ms(m_pause.count() > 3 ? m_random() % (m_pause.count() / 3) : 0);
            asio::steady_timer timer(co_await asio::this_coro::executor, next);
            co_await timer.async_wait(use_awaitable);
        }
    }

    entry& m_entry;
    std::string m_zone;
    std::size_t m_number;
    request_spec m_spec;
    ms m_pause;
    std::size_t m_keptFor; // requests on one connection
    request_totals& m_totals;
    const bool& m_stopped;
    std::mt19937 m_random;
    std::size_t m_count = 0;
};

inline std::string text(const std::map<std::string, std::size_t>& counts)
{
    std::string result;
    for (const auto& [name, count] : counts)
        result += (result.empty() ? "" : ", ") + name + ": " + std::to_string(count);
    return result;
}

// Settings of a case, from the environment of run.sh.
struct case_settings {
    std::string folder; // for settings and logs
    std::string subnet; // first three numbers of the gateways' addresses
    std::vector<std::string> command; // of a gateway
    bool trouble = true;
};

inline case_settings readCase(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: " << argv[0] << " FOLDER SUBNET RECORD COMMAND...\n";
        std::exit(2);
    }
    case_settings settings;
    settings.folder = argv[1];
    settings.subnet = argv[2];
    record.open(argv[3]);
    settings.command.assign(argv + 4, argv + argc);
    const char* trouble = std::getenv("TROUBLE");
    settings.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    ::signal(SIGPIPE, SIG_IGN);
    return settings;
}

} // namespace world
