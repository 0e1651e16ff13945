#pragma once

#include <string>
#include <vector>

#include "membership.h"
#include "searcher_fleet.h"

namespace limpetpier {

// Addresses and bounds of a gateway process.
struct gateway_settings {
    node_id node;
    data_centre_id zone;
    std::string clientAddress; // IP:port
    std::string readyAddress; // IP:port
    std::string peerAddress; // IP:port
    std::string metricsAddress; // IP:port; empty for none
    std::string nodeSecret; // shared by the deployment's gateways; without it they give each other no views
    std::vector<std::string> seeds; // IP:port of some gateways, for a process that never reached the store
    deployment_limits bounds;
    milliseconds stopGrace { 6000 }; // from the signal to the forced end
    membership_timing membershipTiming;
    milliseconds changeBatchDelay { 700 }; // changes in the store are gathered for this long
    milliseconds memberSettleTime { 800 }; // at the start, time without a change after which the member list is whole
};

} // namespace limpetpier
