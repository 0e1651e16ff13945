#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>

namespace limpetpier {

// Runs the handlers of a process on the calling thread and as many more as asked for, until the context is stopped.
void runWorkers(boost::asio::io_context& io, std::size_t workers);

} // namespace limpetpier
