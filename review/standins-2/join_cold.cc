// Three gateways. A searcher is added, so it is cold; right after it, three more gateways are added.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    deployment_options options;
    options.gateways = 3;
    options.zones = 3;
    options.requesters = 60;
    options.coldPerS = 60;
    options.boundMs = 5000; // as on the sites with many machines
    return runCase(argc, argv, options, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(6000));
        played.addSearcher(3);
        co_await sleepFor(ms(100));
        if (trouble) {
            for (int added = 0; added < 3; ++added) {
                auto& each = played.addGateway();
                each.start();
                played.platform->add(each);
                co_await sleepFor(ms(100));
            }
        }
        co_await sleepFor(ms(4500));
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        co_return played.judgeColdSearchers();
    });
}
