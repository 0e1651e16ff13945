#pragma once

#include <string>

namespace limpetpier::standins {

// What a gateway's settings file says of its place.
struct node_file_values {
    std::string node;
    std::string ip;
    int firstPort = 0; // clients, then readiness, then peers
    std::string storeAddress; // IP:port
};

// Text of the platform's settings file for one gateway, with the bounds of a small deployment.
inline std::string formatNodeFile(const node_file_values& place)
{
    const auto address = [&](int offset) { return "\"" + place.ip + ":" + std::to_string(place.firstPort + offset) + "\"\n"; };
    const auto peerPort = std::to_string(place.firstPort + 2);
    return "nodeName = \"" + place.node + "\"\nip = \"" + place.ip + "\"\nzone = \"zone-1\"\ninternalPorts = [" + peerPort + "," + peerPort
        + "]\nheartbeatMs = 1200\n[listenAddrs]\nfront = " + address(0) + "readyAddr = " + address(1)
        + "[bounds]\ndrainMs = 3000\nconfigApplyMs = 3000\ngraceS = 6\nretryBudget = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\ncoldOvershoot = 1.5\ncoldSlack = 5\n[platform]\naddress = \"" + place.storeAddress
        + "\"\nttlMinMs = 1000\n";
}

} // namespace limpetpier::standins
