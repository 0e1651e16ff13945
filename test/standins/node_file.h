#pragma once

#include <string>

namespace limpetpier::standins {

// Values of a node's settings file that differ between gateways.
struct node_file_values {
    std::string node;
    std::string ip;
    int firstPort = 0; // port for clients; the next two are for the readiness check and for peers
    std::string storeAddress; // IP:port
    int memoryMegabytes = 0; // of the machine; 0: not stated
    int maxFiles = 0; // open files of the process; 0: not stated
};

// Returns the text of the platform's settings file for one gateway, with bounds for a small deployment.
inline std::string formatNodeFile(const node_file_values& values)
{
    const auto address = [&](int offset) { return "\"" + values.ip + ":" + std::to_string(values.firstPort + offset) + "\"\n"; };
    std::string limits;
    if (values.memoryMegabytes > 0)
        limits += "memoryMb = " + std::to_string(values.memoryMegabytes) + "\n";
    if (values.maxFiles > 0)
        limits += "maxFds = " + std::to_string(values.maxFiles) + "\n";
    const auto peerPort = std::to_string(values.firstPort + 2);
    return "nodeName = \"" + values.node + "\"\nip = \"" + values.ip + "\"\nzone = \"zone-1\"\ninternalPorts = [" + peerPort + "," + peerPort
        + "]\nheartbeatMs = 1200\n[listenAddrs]\nfront = " + address(0) + "readyAddr = " + address(1)
        + (limits.empty() ? "" : "[limits]\n" + limits) + "[bounds]\ndrainMs = 3000\nconfigApplyMs = 3000\ngraceS = 6\nretryBudget = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\ncoldOvershoot = 1.5\ncoldSlack = 5\n[platform]\naddress = \"" + values.storeAddress
        + "\"\nttlMinMs = 1000\n";
}

} // namespace limpetpier::standins
