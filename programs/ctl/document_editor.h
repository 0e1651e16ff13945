#pragma once

#include <boost/json/object.hpp>
#include <functional>
#include <string>

#include "limpetpier/coordination/section_edit.h"
#include "limpetpier/transport/store_client.h"

namespace limpetpier {

// The document's revision and the section's version after an edit.
struct edit_result {
    revision_number revision;
    section_version version;
    bool wasAlreadyApplied = false; // the reply to an earlier write of this edit was lost
};

// Reads and edits the operator document in the platform's store.
class document_editor {
public:
    document_editor(asio::any_io_executor executor, const std::string& storeAddress);

    // Returns the stored document, or an empty one if none is stored. Throws document_error, store_unavailable.
    awaitable<operator_document> read();

    // Applies an edit by compare-and-swap and retries after concurrent edits of other sections. A write whose reply was
    // lost is recognized by its edit id. Throws edit_conflict, credential_error, document_error, store_unavailable.
    awaitable<edit_result> apply(section_edit edit);

private:
    awaitable<store_value> readValue();

    asio::any_io_executor m_executor;
    store_client m_store;
};

} // namespace limpetpier
