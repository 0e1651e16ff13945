#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "limpetpier/transport/worker_pool.h"
#include "order_service.h"

namespace limpetpier {

namespace {

constexpr milliseconds maintenanceInterval { 50 };

// Time for which a dispatcher must be settled before it reports ready, so that fronts have received its digest.
constexpr milliseconds readyDelay { 300 };

// Time between the end of the work and the exit, in which probes tell the new owners that this node has released it.
constexpr milliseconds releaseNoticePeriod { 600 };

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "node", "", "Name of this node, unique in the deployment", setting_kind::text, true, 0, 0, false },
        { "data-centre", "", "Data centre of this node", setting_kind::text, true, 0, 0, false },
        { "listen", "", "IP:port for other nodes, TCP and UDP", setting_kind::address, true, 0, 0, false },
        { "advertise", "", "IP:port at which other nodes reach this node, if it differs from --listen", setting_kind::address, false, 0, 0, false },
        { "http", "", "IP:port for health, metrics and status", setting_kind::address, true, 0, 0, false },
        { "store", "", "IP:port of the platform's key-value service", setting_kind::address, true, 0, 0, false },
        { "peers", "", "Comma-separated IP:port list of dispatchers to request state from while the store is down", setting_kind::text, false, 0, 0, false },
        { "deployment", "limpetpier", "Name of the deployment; messages from nodes of other deployments are refused", setting_kind::text, true, 0, 0, false },
        { "workers", "2", "Worker threads", setting_kind::number, true, 1, 64, false },
        { "stop-timeout-ms", "10000", "Time limit of a graceful stop, in milliseconds", setting_kind::number, true, 100, 600'000, false },
        { "node-secret", "", "Shared secret of the deployment's nodes", setting_kind::text, true, 0, 0, true },
    };
    return table;
}

epoch_member makeSelf(const program_settings& settings)
{
    epoch_member self;
    self.id = node_id { settings.text("node") };
    self.dataCentre = data_centre_id { settings.text("data-centre") };
    self.address = settings.text("advertise").empty() ? settings.text("listen") : settings.text("advertise");
    self.incarnation = incarnation_number { static_cast<std::uint64_t>(wallNow().time_since_epoch().count()) };
    return self;
}

// Dispatcher process. Connects the services to the transport.
class dispatcher {
public:
    dispatcher(asio::io_context& io, const program_settings& settings)
        : m_io(io)
        , m_codec(settings.text("deployment"), settings.text("node-secret"))
        , m_links(io.get_executor(), m_codec, makeHandlers())
        , m_agent(io.get_executor(), { makeSelf(settings), settings.text("store"), settings.list("peers") }, m_links, makeHooks())
        , m_searches(io.get_executor(), m_agent, m_metrics)
        , m_orders(io.get_executor(), m_agent, m_searches, m_links, m_calls)
        , m_linkServer(io.get_executor(), parseTcpEndpoint(settings.text("listen")), m_codec, makeHandlers())
        , m_probes(
              io.get_executor(), parseUdpEndpoint(settings.text("listen")), m_codec,
              [this](const probe_message& message, const asio::ip::udp::endpoint& sender) { m_agent.handleProbe(message, sender); },
              [](const std::string& what) { logEvent(event::bad_frame, what); })
        , m_httpServer(io.get_executor(), parseTcpEndpoint(settings.text("http")), {}, [this](http_request request) { return handleHttpRequest(std::move(request)); })
        , m_stopTimeout(settings.number("stop-timeout-ms"))
        , m_signals(io, SIGTERM, SIGINT)
    {
        m_agent.setProbePort(&m_probes);
    }

    void start()
    {
        m_agent.start();
        asio::co_spawn(m_io, maintain(), asio::detached);
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error)
                asio::co_spawn(m_io, stop(), asio::detached);
        });
    }

private:
    link_handlers makeHandlers()
    {
        link_handlers result;
        result.onMessage = [this](const node_link_handle& link, node_message message) {
            std::visit([&](const auto& item) { handle(link, item); }, message);
        };
        result.onClosed = [this](const node_link_handle& link, bool wasOpen) {
            m_searches.handleLinkClosed(link);
            if (link->peerAddress().empty())
                return;
            logEvent(event::link_closed, "peer=" + link->peerAddress());
            m_calls.handleClosed(link->peerAddress(), wasOpen);
        };
        result.onBadFrame = [](const std::string& what) { logEvent(event::bad_frame, what); };
        return result;
    }

    cluster_hooks makeHooks()
    {
        cluster_hooks result;
        result.isReleased = [this] { return m_searches.isReleased() && m_orders.isReleased(); };
        result.onChange = [this] { m_searches.reconcile(); };
        return result;
    }

    // Messages that a dispatcher does not process. Only gateways exchange views of the store.
    void handle(const node_link_handle&, const view_request&) { }
    void handle(const node_link_handle&, const view_reply&) { }
    void handle(const node_link_handle&, const ping_message&) { }
    void handle(const node_link_handle&, const sub_request_reply&) { }
    void handle(const node_link_handle&, const slow_notice&) { }
    void handle(const node_link_handle&, const digest_reply&) { }
    void handle(const node_link_handle& link, const search_batch& message) { m_searches.handleBatch(link, message); }
    void handle(const node_link_handle& link, const cancel_message& message) { m_searches.handleCancel(link, message); }
    void handle(const node_link_handle& link, const digest_request& message) { m_searches.subscribe(link, message.knownFingerprint); }
    void handle(const node_link_handle& link, const state_request&) { link->send(state_reply { *m_agent.epoch(), m_agent.documentText() }); }
    void handle(const node_link_handle&, const state_reply& message) { m_agent.adoptPeerState(message); }
    void handle(const node_link_handle& link, const order_request& message) { m_orders.handleOrder(link, message); }
    void handle(const node_link_handle& link, const run_request& message) { m_orders.handleRun(link, message); }
    void handle(const node_link_handle&, const call_reply& message) { m_calls.handleReply(message); }
    void handle(const node_link_handle& link, const handover_message& message) { m_orders.handleHandover(link, message); }
    void handle(const node_link_handle&, const handover_ack& message) { m_orders.handleHandoverAck(message); }

    awaitable<void> maintain()
    {
        asio::steady_timer timer(m_io);
        for (;;) {
            m_orders.reconcile();
            updateReadiness();
            m_searches.publishDigest();
            timer.expires_after(maintenanceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // Sets m_ready: this node may send to all its searchers and has queried them, and has been so for readyDelay.
    void updateReadiness()
    {
        const auto now = monotonic_clock::now();
        const bool settled = m_agent.rightIsFresh(now) && m_agent.pendingCount() == 0 && m_searches.isSettled();
        if (!settled)
            m_settledSince = now;
        m_ready = settled && now - m_settledSince >= readyDelay;
    }

    // Stops the process: gives up ownership, waits for running work up to the time limit, and leaves time for probes to
    // tell the new owners.
    awaitable<void> stop()
    {
        logEvent(event::stopping, "open_jobs=" + std::to_string(m_searches.openJobCount()));
        m_stopping = true;
        m_agent.leave();
        const auto stopDeadline = monotonic_clock::now() + m_stopTimeout;
        asio::steady_timer timer(m_io);
        const auto isDone = [this] { return m_agent.hasLeft() && m_searches.isReleased() && m_orders.isReleased() && m_orders.openOrderCount() == 0; };
        while (!isDone() && monotonic_clock::now() < stopDeadline) {
            timer.expires_after(maintenanceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        timer.expires_after(releaseNoticePeriod);
        co_await timer.async_wait(asio::use_awaitable);
        logEvent(event::stopped, std::string("released=") + (isDone() ? "yes" : "no"));
        m_io.stop();
    }

    awaitable<http_reply> handleHttpRequest(http_request request)
    {
        http_reply reply;
        if (request.target == "/healthz") {
            reply.body = "{\"ok\":true}\n";
        } else if (request.target == "/readyz") {
            const bool ready = !m_stopping && m_ready;
            reply.status = ready ? 200 : 503;
            reply.body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
        } else if (request.target == "/metrics") {
            reply.contentType = "text/plain; version=0.0.4";
            reply.body = metrics();
        } else if (request.target == "/status") {
            reply.body = status();
        } else {
            reply.status = 404;
            reply.body = "{\"error\":\"unknown path; use /healthz, /readyz, /status or /metrics\"}\n";
        }
        co_return reply;
    }

    std::string metrics()
    {
        const auto now = monotonic_clock::now();
        m_metrics.set("limpet_epoch", static_cast<double>(m_agent.epoch()->number.value()));
        m_metrics.set("limpet_revision", static_cast<double>(m_agent.document()->revision.value()));
        m_metrics.set("limpet_right_fresh", m_agent.rightIsFresh(now) ? 1 : 0);
        m_metrics.set("limpet_owned_searchers", static_cast<double>(m_agent.ownedCount()));
        m_metrics.set("limpet_pending_searchers", static_cast<double>(m_agent.pendingCount()));
        m_metrics.set("limpet_open_jobs", static_cast<double>(m_searches.openJobCount()));
        m_metrics.set("limpet_idempotency_records", static_cast<double>(m_orders.recordCount()));
        m_metrics.set("limpet_store_calls", static_cast<double>(m_agent.storeCalls()));
        m_metrics.set("limpet_probe_bytes_sent", static_cast<double>(m_probes.bytesSent()));
        return m_metrics.render();
    }

    std::string status() const
    {
        boost::json::array searchers;
        for (const auto& runtime : m_searches.runtimes()) {
            const auto report = runtime->report();
            searchers.push_back(boost::json::object {
                { "id", report.searcher.value() },
                { "serving", report.serving },
                { "may_send", m_agent.maySend(report.searcher, monotonic_clock::now()) },
                { "open_jobs", runtime->openJobCount() },
                { "ramp", rampText(runtime->rampState()) },
            });
        }
        return boost::json::serialize(boost::json::object {
                   { "node", m_agent.self().value() },
                   { "epoch", m_agent.epoch()->number.value() },
                   { "revision", m_agent.document()->revision.value() },
                   { "member", m_agent.isMember() },
                   { "right_fresh", m_agent.rightIsFresh(monotonic_clock::now()) },
                   { "pending", m_agent.pendingCount() },
                   { "idempotency_records", m_orders.recordCount() },
                   { "store_calls", m_agent.storeCalls() },
                   { "searchers", std::move(searchers) },
               })
            + "\n";
    }

    static std::string_view rampText(ramp_state state)
    {
        switch (state) {
        case ramp_state::probing:
            return "probing";
        case ramp_state::cold:
            return "cold";
        case ramp_state::growing:
            return "growing";
        case ramp_state::warm:
            return "warm";
        }
        return "probing";
    }

    asio::io_context& m_io;
    node_codec m_codec;
    call_table m_calls;
    metrics_registry m_metrics;
    link_directory m_links;
    cluster_agent m_agent;
    search_service m_searches;
    order_service m_orders;
    link_server m_linkServer;
    probe_port m_probes;
    http_server m_httpServer;
    milliseconds m_stopTimeout;
    asio::signal_set m_signals;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_ready { false };
    monotonic_time m_settledSince = monotonic_clock::now();
};

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("limpet-dispatch", "Owns searchers and sends requests to them within their concurrency limits.", settingsTable(), argc, argv);
    startLog(settings.text("node"));
    asio::io_context io;
    dispatcher process(io, settings);
    process.start();
    logEvent(event::started, "listen=" + settings.text("listen") + " data_centre=" + settings.text("data-centre"));
    runWorkers(io, static_cast<std::size_t>(settings.number("workers")));
    std::_Exit(EXIT_SUCCESS); // no state needs saving; the operating system closes files and sockets
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-dispatch", limpetpier::run, argc, argv);
}
