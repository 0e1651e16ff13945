#pragma once

#include <optional>
#include <string>

#include "limpetpier/state/clock.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

// A value of the platform's store and its version; version 0 means that there is none.
struct store_value {
    std::uint64_t version = 0;
    std::string text;
};

// The platform's small key-value service. All calls throw store_unavailable when no answer comes in time; then the
// effect of a write is unknown and must be found out by reading.
class store_client {
public:
    store_client(asio::any_io_executor executor, const std::string& address, milliseconds timeout);

    awaitable<store_value> get(std::string key);

    // Writes if the version is still expected; false if it is not.
    awaitable<bool> compareAndSwap(std::string key, std::uint64_t expected, std::string text);

    // Waits until the version differs from the known one, at most for the given time.
    awaitable<store_value> watch(std::string key, std::uint64_t known, milliseconds wait);

private:
    awaitable<std::string> call(std::string method, std::string target, std::string body, milliseconds timeout, unsigned& status);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    milliseconds m_timeout;
};

// Keys of the deployment in the store.
constexpr const char* documentKey = "limpetpier.document";
constexpr const char* epochKey = "limpetpier.epoch";

} // namespace limpetpier
