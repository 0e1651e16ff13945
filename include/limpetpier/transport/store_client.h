#pragma once

#include <optional>
#include <string>

#include "limpetpier/state/clock.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

// A value in the platform's store and its version. Version 0 means that the key has no value.
struct store_value {
    std::uint64_t version = 0;
    std::string text;
};

// Client of the platform's small key-value service. Every call opens a connection of its own, and throws
// store_unavailable if the service does not answer in time or answers with an unexpected status. After that the effect of a
// write is unknown and must be determined by reading.
class store_client {
public:
    // The address is IP:port. Throws settings_error if it is invalid.
    store_client(asio::any_io_executor executor, const std::string& address, milliseconds timeout);

    // Reads a key.
    awaitable<store_value> get(std::string key);

    // Writes the text if the version of the key equals the expected one. Returns whether it was written.
    awaitable<bool> compareAndSwap(std::string key, std::uint64_t expected, std::string text);

    // Waits until the version of the key differs from the known one, but not longer than the given time, and returns the
    // current value.
    awaitable<store_value> watch(std::string key, std::uint64_t known, milliseconds wait);

private:
    awaitable<std::string> call(std::string method, std::string target, std::string body, milliseconds timeout, unsigned& status);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    milliseconds m_timeout;
};

// Keys of the operator's document and of the epoch in the store.
constexpr const char* documentKey = "limpetpier.document";
constexpr const char* epochKey = "limpetpier.epoch";

} // namespace limpetpier
