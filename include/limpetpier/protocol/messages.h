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

// Keeps a link alive and verifies that both ends still receive each other's messages.
struct ping_message {
    bool wantsReply = false; // the receiver replies immediately with another ping

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(wantsReply);
    }
};

// Remaining time of a request. The wall-clock time of sending reveals time spent in the buffers of a paused process.
struct time_budget {
    std::int64_t remainingUs = 0;
    std::int64_t sentAtWallMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(remainingUs, sentAtWallMs);
    }
};

// The sub-request of a batch for one searcher.
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

// All sub-requests of a query for searchers of the same owner. Front to dispatcher.
struct search_batch {
    query_number query;
    front_id front;
    std::string text;
    std::uint32_t limit = 0;
    std::uint32_t priority = 0;
    time_budget budget;
    std::int64_t slowAfterUs = 0; // service time after which the dispatcher sends a slow_notice
    snapshot_id snapshot;
    std::vector<batch_item> items;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, front, text, limit, priority, budget, slowAfterUs, snapshot, items);
    }
};

// The result of a sub-request. Dispatcher to front.
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

// Reports that a sub-request has been running for longer than the batch's slowAfterUs. Dispatcher to front.
struct slow_notice {
    query_number query;
    attempt_ref ref;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, ref);
    }
};

// Cancels sub-requests whose answers are no longer needed. Front to dispatcher.
struct cancel_message {
    query_number query;
    std::vector<attempt_ref> refs;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, refs);
    }
};

// Requests a digest of the dispatcher's searchers and subscribes to changes.
struct digest_request {
    std::uint64_t knownFingerprint = 0; // of the last digest received; 0 for none

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(knownFingerprint);
    }
};

// The state of a dispatcher and its searchers.
struct digest_reply {
    node_id from;
    std::uint64_t fingerprint = 0; // hash of the contents below
    bool unchanged = false; // the fingerprint equals knownFingerprint; the contents are omitted
    epoch_number epoch;
    revision_number revision;
    bool acceptsRequests = false; // false if the dispatcher is stopping or cannot confirm its ownership
    std::vector<searcher_report> searchers;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, fingerprint, unchanged, epoch, revision, acceptsRequests, searchers);
    }
};

// Requests the epoch and the operators' document from a dispatcher.
struct state_request {
    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

// The epoch and the operators' document as known to a dispatcher.
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

// A non-idempotent request. Front to the dispatcher that holds its key.
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

// Runs a non-idempotent request on a searcher. Holder of the key to the owner of the searcher.
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

// The result of an order_request or a run_request.
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

// Transfers idempotency records to the new holder of their keys, in one or more parts.
struct handover_message {
    node_id from;
    epoch_number epoch;
    std::int64_t floorWallMs = 0;
    std::vector<idempotency_record> records;
    bool last = false; // this is the last part for the epoch

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, epoch, floorWallMs, records, last);
    }
};

// Acknowledges that all parts of a handover for this epoch have been merged.
struct handover_ack {
    node_id from;
    epoch_number epoch;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, epoch);
    }
};

// Requests another gateway's view of the platform's store. Gateway to gateway, while the sender cannot read the store.
struct view_request {
    std::uint64_t revision = 0; // store revision of the sender's view; 0 for none
    std::int64_t ageMs = 0; // age of that view; used by earlier versions only
    std::uint64_t era = 0; // of the store, in which the revision was assigned

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(revision, ageMs, era);
    }
};

// An entry of a view: a searcher registered in the store.
struct viewed_searcher {
    searcher_id id;
    service_id service;
    std::string address;
    data_centre_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::int64_t coldTimeLeftMs = 0; // counted from the sending of the reply
    std::uint64_t startTimeMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, address, zone, slots, draining, coldTimeLeftMs, startTimeMs);
    }
};

// A gateway's view of the store.
struct view_reply {
    std::int64_t ageMs = 0; // time since the store last answered the gateway
    std::uint64_t revision = 0; // store revision of this view
    bool unchanged = false; // the requester's view is as recent; the fields below are empty
    std::string tableText; // the operator's configuration as stored, with digests instead of keys: frames are not encrypted
    std::vector<data_centre_id> evacuatedZones;
    std::vector<viewed_searcher> searchers;
    std::vector<node_id> members;
    std::vector<std::string> memberEntries; // stored values of members, in the same order
    std::uint64_t era = 0; // of the store, in which the revision was assigned

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(ageMs, revision, unchanged, tableText, evacuatedZones, searchers, members, memberEntries, era);
    }
};

// Any message on a link between nodes. Messages are identified by their position on the wire.
using node_message = std::variant<ping_message, search_batch, sub_request_reply, slow_notice, cancel_message, digest_request, digest_reply,
    state_request, state_reply, order_request, run_request, call_reply, handover_message, handover_ack, view_request, view_reply>;

// Asks a keeper of a workspace's limit for permits, or answers that over UDP. Gateway to gateway.
struct permit_message {
    bool isAnswer = false;
    std::string workspace;
    std::uint64_t number = 0; // of the question, also in its answer
    std::uint32_t count = 0; // permits wanted or granted
    bool isLimitReached = false; // nothing was granted because of the limit
    std::int64_t nextPermitMs = 0; // when one more may be expected; 0 if that is unknown

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isAnswer, workspace, number, count, isLimitReached, nextPermitMs);
    }
};

// A heartbeat over UDP, or its acknowledgement.
struct probe_message {
    bool isAck = false;
    bool isMember = false; // the sender is a member in its current incarnation; only members confirm others' liveness
    bool released = false; // all requests on searchers that the sender does not own in this epoch have ended
    node_id from;
    incarnation_number incarnation;
    std::uint64_t sequence = 0; // an acknowledgement has the sequence number of its probe
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
