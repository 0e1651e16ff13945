#include "limpetpier/transport/worker_pool.h"

#include <thread>
#include <vector>

namespace limpetpier {

void runWorkers(boost::asio::io_context& io, std::size_t workers)
{
    std::vector<std::thread> threads;
    threads.reserve(workers);
    for (std::size_t worker = 1; worker < workers; ++worker)
        threads.emplace_back([&io] { io.run(); });
    io.run();
    for (auto& thread : threads)
        thread.join();
}

} // namespace limpetpier
