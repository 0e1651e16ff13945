#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>

namespace limpetpier {

// Runs the handlers of an io_context on the given number of threads, of which the calling thread is one, until the
// context is stopped or runs out of work.
void runWorkers(boost::asio::io_context& io, std::size_t workers);

} // namespace limpetpier
