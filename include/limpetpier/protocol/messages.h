#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <variant>
#include <vector>

#include "limpetpier/coordination/fan_out_plan.h"
#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/coordination/suspicion_table.h"
#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/routing_table.h"
#include "limpetpier/state/snapshot.h"

namespace limpetpier {

// Keeps a link alive and shows that both ends still hear each other.
struct ping_message {
    bool wantsReply = false; // answered at once with another ping

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(wantsReply);
    }
};

// How long a request may still take. The wall time bounds requests that waited in the buffers of a paused process.
struct time_budget {
    std::int64_t remainingUs = 0;
    std::int64_t sentAtWallMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(remainingUs, sentAtWallMs);
    }
};

// One searcher's share of a batch.
struct batch_item {
    attempt_ref ref;
    searcher_id searcher;
    bool hedge = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(ref, searcher, hedge);
    }
};

// All sub-requests of one query that one owner serves. Front to dispatcher.
struct search_batch {
    query_number query;
    front_id front;
    std::string text;
    std::uint32_t limit = 0;
    std::uint32_t priority = 0;
    time_budget budget;
    std::int64_t slowAfterUs = 0; // service time after which a slow_notice is wanted
    snapshot_id snapshot;
    std::vector<batch_item> items;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, front, text, limit, priority, budget, slowAfterUs, snapshot, items);
    }
};

// The end of one sub-request. Dispatcher to front.
struct sub_request_reply {
    query_number query;
    attempt_ref ref;
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    held_snapshot from;
    std::vector<search_hit> hits;
    std::int64_t serviceUs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, ref, result, why, from, hits, serviceUs);
    }
};

// A sub-request has been in service for longer than the batch's slowAfterUs. Dispatcher to front.
struct slow_notice {
    query_number query;
    attempt_ref ref;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, ref);
    }
};

// Sub-requests whose answers are no longer needed. Front to dispatcher.
struct cancel_message {
    query_number query;
    std::vector<attempt_ref> refs;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, refs);
    }
};

// Asks a dispatcher for what it knows of its searchers, and to be told of every change from now on.
struct digest_request {
    std::uint64_t knownFingerprint = 0; // fingerprint of the last digest; the same one is answered without its contents

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(knownFingerprint);
    }
};

struct digest_reply {
    node_id from;
    std::uint64_t fingerprint = 0; // of everything below
    bool unchanged = false; // the receiver knows the contents; they are left out
    epoch_number epoch;
    revision_number revision;
    bool acceptsRequests = false; // false while the dispatcher is stopping or its right is stale
    std::vector<searcher_report> searchers;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, fingerprint, unchanged, epoch, revision, acceptsRequests, searchers);
    }
};

// Asks a dispatcher for the epoch and the operators' document.
struct state_request {
    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

struct state_reply {
    assignment_epoch epoch;
    std::string documentText;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(epoch, documentText);
    }
};

using call_number = number_id<struct call_tag>;

// A non-idempotent request. Front to the holder of its key.
struct order_request {
    call_number call;
    front_id front;
    idempotency_key key;
    std::string text;
    time_budget budget;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(call, front, key, text, budget);
    }
};

// A non-idempotent request that its holder decided to run. Holder to the owner of a searcher.
struct run_request {
    call_number call;
    front_id front;
    searcher_id searcher;
    idempotency_key key;
    std::string text;
    std::uint32_t priority = 0;
    time_budget budget;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(call, front, searcher, key, text, priority, budget);
    }
};

// The end of an order_request or a run_request.
struct call_reply {
    call_number call;
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    std::string answer;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(call, result, why, answer);
    }
};

// The idempotency records whose keys moved to another holder.
struct handover_message {
    node_id from;
    epoch_number epoch;
    std::int64_t floorWallMs = 0;
    std::vector<idempotency_record> records;
    bool last = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, epoch, floorWallMs, records, last);
    }
};

// The last part of a hand-over for this epoch has been merged.
struct handover_ack {
    node_id from;
    epoch_number epoch;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, epoch);
    }
};

// Asks another gateway for its view of the platform's store. Gateway to gateway, while the store turns the sender away.
struct view_request {
    std::uint64_t revision = 0; // of the store, as of the sender's view; 0 for none
    std::int64_t ageMs = 0; // since that view was true

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(revision, ageMs);
    }
};

// One searcher of a view.
struct viewed_searcher {
    searcher_id id;
    service_id service;
    std::string address;
    data_centre_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::int64_t coldTimeLeftMs = 0; // from when the reply was sent
    std::uint64_t startTimeMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, address, zone, slots, draining, coldTimeLeftMs, startTimeMs);
    }
};

// What a gateway knows of the store.
struct view_reply {
    std::int64_t ageMs = 0; // since the store last answered it
    std::uint64_t revision = 0; // of the store, as of this view
    bool unchanged = false; // the sender's view is as good, and the rest is empty
    std::string tableText; // the operator's configuration as it lies in the store
    std::vector<data_centre_id> evacuatedZones;
    std::vector<viewed_searcher> searchers;
    std::vector<node_id> members;
    std::vector<std::string> memberEntries; // in the order of members, as they lie in the store

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(ageMs, revision, unchanged, tableText, evacuatedZones, searchers, members, memberEntries);
    }
};

using node_message = std::variant<ping_message, search_batch, sub_request_reply, slow_notice, cancel_message, digest_request, digest_reply,
    state_request, state_reply, order_request, run_request, call_reply, handover_message, handover_ack, view_request, view_reply>;

// A heartbeat over UDP, and its acknowledgement.
struct probe_message {
    bool isAck = false;
    bool isMember = false; // only members of their current incarnation vouch for others
    bool released = false; // all work that the sender no longer owns in this epoch has ended
    node_id from;
    incarnation_number incarnation;
    std::uint64_t sequence = 0; // an acknowledgement repeats the probe's
    epoch_number epoch;
    revision_number revision;
    std::vector<suspicion> suspicions;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isAck, isMember, released, from, incarnation, sequence, epoch, revision, suspicions);
    }
};

} // namespace limpetpier
