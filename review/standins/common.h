#pragma once

#include <arpa/inet.h>
#include <boost/asio.hpp>
#include <chrono>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "limpetpier/protocol/http_message.h"

// Helpers of the review's stand-ins: the record, a blocking client and the settings file of one gateway.

namespace review {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using limpetpier::http_request;

// Writes record.txt: one line for each event, with the milliseconds since the start.
class record_file {
public:
    explicit record_file(const std::string& path)
        : m_file(path)
    {
    }
    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        const auto elapsed = std::chrono::duration<double, std::milli>(steady::now() - m_start).count();
        m_file << std::fixed;
        m_file.precision(1);
        m_file << elapsed << " ms  " << line << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

// Connects to IP and port; -1 on failure.
inline int connectTo(const std::string& ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

inline void sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

// Reads until the peer closes or has been silent for this time.
inline std::string readUntilSilent(int descriptor, std::chrono::milliseconds silence)
{
    std::string result;
    pollfd waiting { descriptor, POLLIN, 0 };
    char buffer[4096];
    while (poll(&waiting, 1, static_cast<int>(silence.count())) > 0) {
        const auto count = recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        result.append(buffer, static_cast<std::size_t>(count));
    }
    return result;
}

// Reads one reply with a Content-Length; empty if the connection ended first.
inline std::string readReply(int descriptor, std::chrono::milliseconds timeout)
{
    std::string result;
    const auto end = steady::now() + timeout;
    char buffer[4096];
    for (;;) {
        const auto head = result.find("\r\n\r\n");
        if (head != std::string::npos) {
            const auto field = result.find("Content-Length: ");
            const std::size_t length = field == std::string::npos || field > head ? 0 : std::stoul(result.substr(field + 16));
            if (result.size() >= head + 4 + length)
                return result;
        }
        pollfd waiting { descriptor, POLLIN, 0 };
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady::now()).count();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return {};
        const auto count = recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0)
            return {};
        result.append(buffer, static_cast<std::size_t>(count));
    }
}

// Status of a reply; 0 for none.
inline int statusOf(const std::string& reply) { return reply.size() < 12 ? 0 : std::atoi(reply.c_str() + 9); }

// Asks for readiness as the platform does, once a second at most; false if the gateway is not ready in time.
inline bool waitUntilReady(const std::string& ip, int port, std::chrono::seconds timeout)
{
    for (const auto end = steady::now() + timeout; steady::now() < end; std::this_thread::sleep_for(200ms)) {
        const int descriptor = connectTo(ip, port);
        if (descriptor < 0)
            continue;
        sendAll(descriptor, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        const int status = statusOf(readReply(descriptor, 1000ms));
        close(descriptor);
        if (status == 200)
            return true;
    }
    return false;
}

// Runs a function on the thread of the stand-ins and waits for it.
inline void runOn(boost::asio::io_context& io, const std::function<void()>& task)
{
    std::promise<void> done;
    boost::asio::post(io, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace review
