// Two gateways. One is restarted while the store loses the answer of one write and does it later; after the first lease has
// ended, a searcher is added, so it is cold.

#include "deployment.h"

using namespace world;

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, [](deployment& played, bool trouble) -> awaitable<int> {
        if (!co_await played.waitUntilReady(20))
            co_return 2;
        played.startTraffic();
        co_await sleepFor(ms(3000));
        auto& restarted = *played.gateways[1];
        restarted.signal(SIGTERM);
        for (int waited = 0; waited < 400 && !restarted.hasEnded(); ++waited)
            co_await sleepFor(ms(20));
        if (trouble)
            played.platformStore().loseNextWrite(restarted.node, ms(3000));
        restarted.start();
        co_await sleepFor(ms(20000)); // longer than the lease of 15 s
        if (!co_await played.waitUntilReady(5))
            co_return 2;
        for (const auto& key : played.platformStore().keys("limpetpier/"))
            record.line("store: holds %s", key.c_str());
        for (int round = 0; round < 2; ++round) {
            played.addSearcher(3);
            co_await sleepFor(ms(4000));
        }
        played.stopTraffic();
        co_await sleepFor(ms(1000));
        co_return played.judgeColdSearchers();
    });
}
