#pragma once

#include <string>
#include <vector>

#include "limpetpier/coordination/connection_budget.h"
#include "membership.h"
#include "searcher_fleet.h"

namespace limpetpier {

// Addresses, limits and timing of a gateway process.
struct gateway_settings {
    node_id node;
    data_centre_id zone;
    std::string clientAddress; // IP:port
    std::string readyAddress; // IP:port
    std::string peerAddress; // IP:port
    std::string metricsAddress; // IP:port; empty disables the metrics listener
    std::string nodeSecret; // shared by the deployment's gateways; if empty, no views are exchanged with peers
    std::vector<std::string> seeds; // IP:port of some gateways, asked for their view while no member is known
    deployment_limits bounds;
    connection_budget::limits clientLimits; // of the client, readiness and metrics listeners together
    bool givesWay = false; // during a shortage, requests wait or are refused by the priority of their routes
    milliseconds stopGrace { 6000 }; // from the termination signal to the forced exit
    membership_timing membershipTiming;
    milliseconds changeBatchDelay { 700 }; // changes in the store are collected for this long and read in one call
    milliseconds rolloutBatchDelay { 0 }; // the same while a roll-out is active, if that is shorter; 0 disables it
    milliseconds minExpiryOutage { 800 }; // shortest outage of the store in which the entry of a live searcher can expire
    milliseconds memberSettleTime { 800 }; // at startup, the member list is complete after this long without a change
};

} // namespace limpetpier
