#pragma once

#include <boost/json/object.hpp>
#include <functional>
#include <string>

#include "limpetpier/coordination/section_edit.h"
#include "limpetpier/transport/store_client.h"

namespace limpetpier {

// What became of an edit.
struct edit_result {
    revision_number revision;
    section_version version;
    bool wasAlreadyApplied = false; // the answer to an earlier write had been lost
};

// Reads and edits the operators' document in the platform's store.
class document_editor {
public:
    document_editor(asio::any_io_executor executor, const std::string& storeAddress);

    awaitable<operator_document> read();

    // Applies an edit by compare-and-swap. Races with other sections are settled by trying again; a write whose answer
    // was lost is found by its id. Throws edit_conflict, credential_error, document_error, store_unavailable.
    awaitable<edit_result> apply(section_edit edit);

private:
    awaitable<store_value> readValue();

    asio::any_io_executor m_executor;
    store_client m_store;
};

} // namespace limpetpier
