// Fake of the platform: a key-value store with compare-and-swap, leases and watches, and the list of VMs.
//
//   GET  /kv/KEY                             returns the value and its version
//   PUT  /kv/KEY?expect=VERSION[&lease=N]    writes the value if its version is VERSION; 0: if there is none
//   GET  /watch/KEY?known=VERSION&wait_ms=N  waits up to N ms until the version is not VERSION, then returns like /kv
//   POST /lease?ttl_ms=N                     creates a lease; a value written with it is deleted when it expires
//   POST /lease/N/renew                      renews lease N
//   GET  /vms, PUT /vms                      returns or replaces the list of VMs, which may lag behind
//
// Control requests:
//   POST /fault?down=0|1&lose_answers=N&delay_ms=N
//       rejects all calls, replies to the next N writes with an error although they were processed, or delays every
//       call by N ms; an absent parameter changes nothing
//   POST /rollback/KEY                       restores the previous value under a new version
//   GET  /calls                              returns the number of calls, control requests not counted

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <vector>

#include "limpetpier/transport/http.h"
#include "limpetpier/transport/settings.h"
#include "query_parameter.h"

using namespace limpetpier;
namespace json = boost::json;

namespace {

constexpr std::size_t maxValueBytes = 1U << 20;

struct stored_value {
    std::uint64_t version = 0;
    std::string text;
    std::uint64_t lease = 0;
};

std::uint64_t numberParameter(const std::string& target, const std::string& name)
{
    const auto text = queryParameter(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

std::string pathKey(const std::string& target, const std::string& prefix)
{
    return target.substr(prefix.size(), target.find('?') - prefix.size());
}

// Serves all requests. Not thread-safe: runs on one thread.
class platform {
public:
    awaitable<http_reply> answer(http_request request)
    {
        const auto& target = request.target;
        if (target.starts_with("/fault"))
            co_return setFault(target);
        if (target.starts_with("/rollback/"))
            co_return rollBack(pathKey(target, "/rollback/"));
        if (target == "/calls")
            co_return reply(200, json::object { { "calls", m_callCount } });
        ++m_callCount;
        if (m_down) {
            auto refused = reply(500, json::object { { "error", "down" } });
            refused.close = true;
            co_return refused;
        }
        if (m_delayMs > 0)
            co_await sleepMs(m_delayMs);
        expireLeases();
        if (target.starts_with("/kv/") && request.method == "GET")
            co_return read(pathKey(target, "/kv/"));
        if (target.starts_with("/kv/") && request.method == "PUT")
            co_return loseAnswer(write(pathKey(target, "/kv/"), target, request.body));
        if (target.starts_with("/watch/"))
            co_return co_await watch(target);
        if (target.starts_with("/lease"))
            co_return lease(target);
        if (target == "/vms" && request.method == "PUT") {
            m_vms = request.body;
            co_return reply(200, json::object {});
        }
        if (target == "/vms") {
            http_reply list;
            list.body = m_vms;
            co_return list;
        }
        co_return reply(404, json::object { { "error", "unknown path" } });
    }

private:
    static http_reply reply(unsigned status, const json::object& body)
    {
        http_reply result;
        result.status = status;
        result.body = json::serialize(body);
        return result;
    }

    static awaitable<void> sleepMs(std::uint64_t ms)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(ms));
        co_await timer.async_wait(asio::use_awaitable);
    }

    http_reply setFault(const std::string& target)
    {
        if (!queryParameter(target, "down").empty())
            m_down = numberParameter(target, "down") != 0;
        if (!queryParameter(target, "lose_answers").empty())
            m_answersToLose = numberParameter(target, "lose_answers");
        if (!queryParameter(target, "delay_ms").empty())
            m_delayMs = numberParameter(target, "delay_ms");
        return reply(200, json::object {});
    }

    http_reply rollBack(const std::string& key)
    {
        auto& history = m_history[key];
        if (history.size() < 2)
            return reply(404, json::object { { "error", "the key has no previous value" } });
        history.pop_back();
        m_values[key].text = history.back();
        m_values[key].version = ++m_lastVersion;
        return reply(200, json::object {});
    }

    http_reply read(const std::string& key)
    {
        const auto found = m_values.find(key);
        if (found == m_values.end())
            return reply(404, json::object { { "error", "key does not exist" } });
        return reply(200, json::object { { "version", found->second.version }, { "value", found->second.text } });
    }

    http_reply write(const std::string& key, const std::string& target, const std::string& body)
    {
        if (body.size() > maxValueBytes)
            return reply(413, json::object { { "error", "value is larger than 1 MiB" } });
        auto& value = m_values[key];
        if (value.version != numberParameter(target, "expect")) {
            const auto version = value.version;
            if (version == 0)
                m_values.erase(key);
            return reply(409, json::object { { "version", version } });
        }
        value.version = ++m_lastVersion;
        value.text = body;
        value.lease = numberParameter(target, "lease");
        m_history[key].push_back(body);
        return reply(200, json::object { { "version", value.version } });
    }

    // Replaces the reply to a processed write by an error if it is among those to lose.
    http_reply loseAnswer(http_reply answer)
    {
        if (m_answersToLose == 0)
            return answer;
        --m_answersToLose;
        auto lost = reply(500, json::object { { "error", "answer lost" } });
        lost.close = true;
        return lost;
    }

    awaitable<http_reply> watch(std::string target)
    {
        const auto key = pathKey(target, "/watch/");
        const auto known = numberParameter(target, "known");
        const auto deadline = monotonic_clock::now() + milliseconds(numberParameter(target, "wait_ms"));
        while (!m_down && monotonic_clock::now() < deadline) {
            const auto found = m_values.find(key);
            if (found != m_values.end() && found->second.version != known)
                break;
            co_await sleepMs(5);
        }
        if (m_down) {
            auto refused = reply(500, json::object { { "error", "down" } });
            refused.close = true;
            co_return refused;
        }
        co_return read(key);
    }

    http_reply lease(const std::string& target)
    {
        if (target.ends_with("/renew")) {
            const auto number = std::stoull(target.substr(std::string("/lease/").size()));
            const auto found = m_leases.find(number);
            if (found == m_leases.end())
                return reply(404, json::object { { "error", "lease does not exist or has expired" } });
            found->second.second = monotonic_clock::now() + found->second.first;
            return reply(200, json::object {});
        }
        const milliseconds ttl { numberParameter(target, "ttl_ms") };
        m_leases[++m_lastLease] = { ttl, monotonic_clock::now() + ttl };
        return reply(200, json::object { { "lease", m_lastLease } });
    }

    void expireLeases()
    {
        const auto now = monotonic_clock::now();
        std::erase_if(m_leases, [&](const auto& entry) { return entry.second.second < now; });
        std::erase_if(m_values, [&](const auto& entry) { return entry.second.lease != 0 && !m_leases.contains(entry.second.lease); });
    }

    std::map<std::string, stored_value> m_values;
    std::map<std::string, std::vector<std::string>> m_history;
    std::map<std::uint64_t, std::pair<milliseconds, monotonic_time>> m_leases;
    std::string m_vms = "[]";
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_callCount = 0;
    std::uint64_t m_answersToLose = 0;
    std::uint64_t m_delayMs = 0;
    bool m_down = false;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<setting> table { { "listen", "", "IP:port to listen on", setting_kind::address, true, 0, 0, false } };
        const auto settings = program_settings::read("fake-platform", "Runs a fake of the platform: key-value store, leases, watches and the list of VMs.", table, argc, argv);
        asio::io_context io(1);
        platform fake;
        http_limits limits;
        limits.bodyBytes = 2U << 20;
        http_server server(io.get_executor(), parseTcpEndpoint(settings.text("listen")), limits, [&](http_request request) { return fake.answer(std::move(request)); });
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
        io.run();
        std::_Exit(EXIT_SUCCESS);
    } catch (const std::exception& error) {
        std::cerr << "fake-platform: " << error.what() << "\n";
        return 2;
    }
}
