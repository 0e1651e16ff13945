// Two gateways. A searcher is added, so it is cold; 0.3 s later one gateway is killed and started again after 0.2 s.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    deployment_options options;
    options.requesters = 80;
    options.warmSearchers = 3;
    return runCase(argc, argv, options, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(5000));
        played.addSearcher(3);
        co_await sleepFor(ms(300));
        if (trouble) {
            auto& killed = *played.gateways[1];
            killed.signal(SIGKILL);
            for (int waited = 0; waited < 20 && !killed.hasEnded(); ++waited)
                co_await sleepFor(ms(5));
            co_await sleepFor(ms(200));
            killed.start();
        }
        co_await sleepFor(ms(3500));
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        co_return played.judgeColdSearchers();
    });
}
