// Nine gateways, a service with four searchers near its capacity. One searcher is restarted as planned: it drains, exits and
// starts again, cold. Shortly before it is warm it crashes, and starts once more.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    deployment_options options;
    options.gateways = 9;
    options.zones = 4;
    options.requesters = 45;
    options.pause = ms(200);
    options.warmSearchers = 4;
    options.maxConns = 26;
    options.coldPerS = 0;
    options.crashesAt = 2;
    options.workTime = ms(60);
    return runCase(argc, argv, options, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(5000));
        auto& restarted = *played.searchers.back();
        restarted.drain();
        co_await sleepFor(ms(8000));
        restarted.crash();
        co_await sleepFor(ms(300));
        restarted.startAgain(ms(3000));
        if (trouble) {
            co_await sleepFor(ms(2900));
            restarted.crash();
            co_await sleepFor(ms(300));
            restarted.startAgain(ms(3000));
        }
        co_await sleepFor(ms(4500));
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        co_return played.judgeColdSearchers();
    });
}
