// Two gateways. A searcher is added, so it is cold; 0.6 s later it becomes cold again, for as long as the first time.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    deployment_options options;
    options.requesters = 48;
    return runCase(argc, argv, options, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(5000));
        auto& added = played.addSearcher(3);
        co_await sleepFor(ms(600));
        if (trouble) {
            added.becomeCold();
            record.line("searcher %s becomes cold again", added.id().c_str());
        }
        co_await sleepFor(ms(4500));
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        co_return played.judgeColdSearchers();
    });
}
