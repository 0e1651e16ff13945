// Two gateways. A searcher is added, so it is cold; while it is, one gateway gets SIGTERM.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(5000));
        played.addSearcher(3);
        co_await sleepFor(ms(400));
        if (trouble)
            played.gateways[1]->signal(SIGTERM);
        co_await sleepFor(ms(3500));
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        played.gateways[1]->hasEnded();
        co_return played.judgeColdSearchers();
    });
}
