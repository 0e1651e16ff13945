#include "document_editor.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace {

constexpr milliseconds storeTimeout { 1000 };
constexpr milliseconds retryDelay { 100 };
constexpr int maxAttempts = 50;

operator_document parseStored(const store_value& stored)
{
    return stored.version == 0 ? operator_document {} : parseDocument(stored.text);
}

// Returns the revision that an accepted edit produced. Each edit raises the revision by one and is listed in order, so
// later edits of others are told by the ids after this one.
revision_number acceptedRevision(const operator_document& document, const edit_id& id)
{
    const auto& edits = document.recentEdits;
    const auto laterEdits = std::distance(std::find(edits.begin(), edits.end(), id), edits.end()) - 1;
    return revision_number { document.revision.value() - static_cast<std::uint64_t>(laterEdits) };
}

} // namespace

document_editor::document_editor(asio::any_io_executor executor, const std::string& storeAddress)
    : m_executor(executor)
    , m_store(executor, storeAddress, storeTimeout)
{
}

awaitable<operator_document> document_editor::read()
{
    co_return parseStored(co_await m_store.get(documentKey));
}

awaitable<edit_result> document_editor::apply(section_edit edit)
{
    bool isReplyLost = false;
    asio::steady_timer timer(m_executor);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        try {
            const auto stored = co_await m_store.get(documentKey);
            const auto current = parseStored(stored);
            if (containsEdit(current, edit.id))
                co_return edit_result { acceptedRevision(current, edit.id), current.sections.at(edit.section).version, isReplyLost };
            const auto next = applyEdit(current, edit);
            isReplyLost = true;
            if (co_await m_store.compareAndSwap(documentKey, stored.version, formatDocument(next)))
                co_return edit_result { next.revision, next.sections.at(edit.section).version, false };
            isReplyLost = false;
            continue;
        } catch (const store_unavailable&) {
            if (attempt + 1 == maxAttempts)
                throw;
        }
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    throw store_unavailable("platform store: the document changed during each of " + std::to_string(maxAttempts) + " attempts; read it with limpetctl show before applying the edit again");
}

} // namespace limpetpier
