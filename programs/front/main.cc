#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <sys/resource.h>

#include "limpetpier/coordination/connection_budget.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"
#include "limpetpier/transport/http.h"
#include "limpetpier/transport/metrics.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "limpetpier/transport/worker_pool.h"
#include "order_handler.h"
#include "search_handler.h"

namespace limpetpier {

namespace {

constexpr milliseconds stopPollInterval { 20 };

// A dispatcher in the route of an open query that sends nothing for quietAfter is sent a ping; if it doesn't answer
// within quietGrace, its sub-requests are sent to other replicas.
constexpr milliseconds quietCheckInterval { 20 };
constexpr milliseconds quietAfter { 40 };
constexpr milliseconds quietGrace { 40 };

// Time for the load balancer to notice that this front is not ready, before the front refuses new requests.
constexpr milliseconds balancerNoticeTime { 500 };

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "node", "", "Name of this process, unique in the deployment", setting_kind::text, true, 0, 0, false },
        { "http", "", "IP:port for callers, health, metrics and status", setting_kind::address, true, 0, 0, false },
        { "store", "", "IP:port of the platform's key-value service", setting_kind::address, true, 0, 0, false },
        { "peers", "", "IP:port list of dispatchers to ask while the store is unavailable", setting_kind::text, false, 0, 0, false },
        { "deployment", "limpetpier", "Name of the deployment; nodes of other deployments are refused", setting_kind::text, true, 0, 0, false },
        { "workers", "2", "Worker threads", setting_kind::number, true, 1, 64, false },
        { "stop-timeout-ms", "10000", "Maximum duration of a graceful stop, in milliseconds", setting_kind::number, true, 100, 600'000, false },
        { "client-memory-mb", "64", "Memory for requests and replies of all callers together, in MiB", setting_kind::number, true, 1, 1'000'000, false },
        { "node-secret", "", "Shared secret of the deployment's nodes", setting_kind::text, true, 0, 0, true },
    };
    return table;
}

http_limits findLimits(const program_settings& settings)
{
    http_limits limits;
    limits.totalBytes = static_cast<std::size_t>(settings.number("client-memory-mb")) << 20U;
    rlimit files {};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0)
        limits.maxOpen = std::min(limits.connections, connection_budget::limitsForMachine(0, files.rlim_cur).connections);
    return limits;
}

// The front process: receives callers' requests over HTTP and answers each exactly once.
class front_process {
public:
    front_process(asio::io_context& io, const program_settings& settings)
        : m_io(io)
        , m_codec(settings.text("deployment"), settings.text("node-secret"))
        , m_links(io.get_executor(), m_codec, handlers())
        , m_view(io.get_executor(), settings.text("store"), settings.list("peers"), m_links)
        , m_searches(m_view, m_links)
        , m_orders(m_view, m_links, m_calls)
        , m_http(io.get_executor(), parseTcpEndpoint(settings.text("http")), findLimits(settings), [this](http_request request) { return answer(std::move(request)); })
        , m_stopTimeout(settings.number("stop-timeout-ms"))
        , m_signals(io, SIGTERM, SIGINT)
    {
    }

    void start()
    {
        m_view.start();
        asio::co_spawn(asio::make_strand(m_io), watchOwners(), asio::detached);
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error)
                asio::co_spawn(m_io, stop(), asio::detached);
        });
    }

private:
    link_handlers handlers()
    {
        link_handlers result;
        result.onMessage = [this](const node_link_handle& link, node_message message) {
            if (const auto* reply = std::get_if<sub_request_reply>(&message))
                m_searches.handleReply(*reply);
            else if (const auto* notice = std::get_if<slow_notice>(&message))
                m_searches.handleSlowNotice(*notice);
            else if (const auto* call = std::get_if<call_reply>(&message))
                m_calls.handleReply(*call);
            else if (const auto* digest = std::get_if<digest_reply>(&message))
                m_view.handleDigest(link, *digest);
            else if (const auto* state = std::get_if<state_reply>(&message))
                m_view.handleState(*state);
        };
        result.onClosed = [this](const node_link_handle& link, bool wasOpen) {
            logEvent(event::link_closed, "peer=" + link->peerAddress());
            m_view.discardDigests(link->peerAddress());
            m_searches.handleLinkClosed(link->peerAddress());
            m_calls.handleClosed(link->peerAddress(), wasOpen);
        };
        result.onPingTimeout = [this](const node_link_handle& link) {
            m_view.discardDigests(link->peerAddress());
            m_searches.handleUnresponsive(link->peerAddress());
        };
        result.onBadFrame = [](const std::string& what) { logEvent(event::bad_frame, what); };
        return result;
    }

    awaitable<void> watchOwners()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        for (;;) {
            const auto expected = monotonic_clock::now() + quietCheckInterval;
            timer.expires_at(expected);
            co_await timer.async_wait(asio::use_awaitable);
            if (monotonic_clock::now() > expected + quietGrace)
                continue; // this process was delayed itself, so silence of the owners proves nothing
            for (const auto& address : m_searches.ownersOfOpenQueries())
                m_links.pingIfIdle(address, quietAfter, quietGrace);
        }
    }

    awaitable<http_reply> answer(http_request request)
    {
        http_reply reply;
        try {
            if (const auto route = parseRoute(request))
                co_return co_await serve(*route, request);
            reply = answerOperatorRequest(request);
        } catch (const request_error& error) {
            reply = formatError(error.status(), error.what());
        }
        co_return reply;
    }

    awaitable<http_reply> serve(const caller_route& route, const http_request& request)
    {
        const auto front = m_view.route(route.front);
        if (!front && m_view.revision() == revision_number {})
            co_return formatError(503, "no configuration yet; try again in a second");
        if (!front)
            throw request_error(404, "front '" + route.front.value() + "' is unknown; limpetctl show lists the fronts");
        const auto expected = front->spec.kind == front_kind::fan_out ? caller_operation::search : caller_operation::order;
        if (route.operation != expected)
            throw request_error(400, "front '" + route.front.value() + "' takes " + (expected == caller_operation::search ? "search" : "order") + " requests only");
        if (m_refusing)
            co_return formatError(503, "this process is stopping; send the request to another one");
        if (route.operation == caller_operation::search)
            co_return co_await serveSearch(front, parseSearch(request, front->spec.deadline));
        co_return co_await serveOrder(front, parseOrder(request, front->spec.deadline));
    }

    awaitable<http_reply> serveSearch(front_route_handle front, search_request request)
    {
        const auto answer = co_await m_searches.answer(front, std::move(request));
        auto labels = labelsOf(*front, answer.result);
        m_metrics.observe("limpet_request_seconds", labels, secondsOf(answer.elapsed));
        labels.outcome.clear();
        m_metrics.add("limpet_sub_requests_total", labels, static_cast<double>(answer.subRequests));
        m_metrics.add("limpet_hedges_total", labels, static_cast<double>(answer.hedges));
        if (answer.result == outcome::answered) {
            m_metrics.add("limpet_answered_coverage_total", labels, answer.coverage.fraction);
            m_metrics.add("limpet_answered_incomplete_total", labels, answer.coverage.fraction < 1 ? 1 : 0);
        }
        co_return formatSearch(answer);
    }

    awaitable<http_reply> serveOrder(front_route_handle front, order_call order)
    {
        const auto key = order.key;
        const auto answer = co_await m_orders.answer(front, std::move(order));
        m_metrics.observe("limpet_request_seconds", labelsOf(*front, answer.result), secondsOf(answer.elapsed));
        co_return formatOrder(answer.result, answer.why, key, answer.text, answer.elapsed);
    }

    static metric_labels labelsOf(const front_route& front, outcome result)
    {
        return { front.spec.tenant.value(), front.spec.id.value(), std::string(toText(result)) };
    }

    static double secondsOf(microseconds duration) { return std::chrono::duration<double>(duration).count(); }

    http_reply answerOperatorRequest(const http_request& request)
    {
        http_reply reply;
        if (request.target == "/healthz") {
            reply.body = "{\"ok\":true}\n";
        } else if (request.target == "/readyz") {
            const bool ready = !m_stopping && m_view.isReady();
            reply.status = ready ? 200 : 503;
            reply.body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
        } else if (request.target == "/metrics") {
            m_metrics.set("limpet_epoch", static_cast<double>(m_view.epoch().number.value()));
            m_metrics.set("limpet_revision", static_cast<double>(m_view.revision().value()));
            m_metrics.set("limpet_open_queries", static_cast<double>(m_searches.openQueries()));
            reply.contentType = "text/plain; version=0.0.4";
            reply.body = m_metrics.render();
        } else if (request.target == "/status") {
            reply.body = boost::json::serialize(boost::json::object {
                             { "epoch", m_view.epoch().number.value() },
                             { "revision", m_view.revision().value() },
                             { "open_queries", m_searches.openQueries() },
                             { "open_orders", m_orders.openOrders() },
                         })
                + "\n";
        } else {
            throw request_error(404, "unknown path '" + request.target + "'; use /v1/fronts/NAME/search, /v1/fronts/NAME/order, /healthz, /readyz, /status or /metrics");
        }
        return reply;
    }

    // Reports not ready until the load balancer has noticed, finishes running requests and ends the process.
    awaitable<void> stop()
    {
        logEvent(event::stopping, "open_queries=" + std::to_string(m_searches.openQueries()));
        m_stopping = true;
        asio::steady_timer timer(m_io, balancerNoticeTime);
        co_await timer.async_wait(asio::use_awaitable);
        m_refusing = true;
        m_http.drain();
        const auto stopDeadline = monotonic_clock::now() + m_stopTimeout;
        while (m_http.connections() > 0 && monotonic_clock::now() < stopDeadline && (m_searches.openQueries() > 0 || m_orders.openOrders() > 0)) {
            timer.expires_after(stopPollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        timer.expires_after(5 * stopPollInterval); // lets the last responses leave the sockets
        co_await timer.async_wait(asio::use_awaitable);
        logEvent(event::stopped, "open_queries=" + std::to_string(m_searches.openQueries()));
        m_io.stop();
    }

    asio::io_context& m_io;
    node_codec m_codec;
    call_table m_calls;
    metrics_registry m_metrics;
    link_directory m_links;
    cluster_view m_view;
    search_handler m_searches;
    order_handler m_orders;
    http_server m_http;
    milliseconds m_stopTimeout;
    asio::signal_set m_signals;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_refusing { false };
};

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("limpet-front", "Receives callers' requests and answers them from all shards.", settingsTable(), argc, argv);
    startLog(settings.text("node"));
    asio::io_context io;
    front_process process(io, settings);
    process.start();
    logEvent(event::started, "http=" + settings.text("http"));
    runWorkers(io, static_cast<std::size_t>(settings.number("workers")));
    std::_Exit(EXIT_SUCCESS); // skips destructors: the process has no state to save, and the operating system closes its sockets
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-front", limpetpier::run, argc, argv);
}
