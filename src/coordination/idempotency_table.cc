#include "limpetpier/coordination/idempotency_table.h"

#include <cctype>

namespace limpetpier {

namespace {

// The previous holder's clock may be ahead of this node's by maxClockSkew, and it accepts keys from callers whose clock
// is ahead of its own by another maxClockSkew.
constexpr milliseconds floorMargin = 2 * maxClockSkew;

constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionPosition = 14;
constexpr std::size_t uuidTimeDigits = 12; // hexadecimal digits of the 48-bit Unix time in milliseconds

bool hasUuidFormat(const std::string& text)
{
    if (text.size() != uuidLength)
        return false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const bool isDash = position == 8 || position == 13 || position == 18 || position == 23;
        if (isDash ? text[position] != '-' : !std::isxdigit(static_cast<unsigned char>(text[position])))
            return false;
    }
    return true;
}

} // namespace

std::optional<wall_time> keyCreationTime(const idempotency_key& key)
{
    const auto& text = key.value();
    if (!hasUuidFormat(text) || text[uuidVersionPosition] != '7')
        return std::nullopt;
    std::string digits;
    for (const char character : text) {
        if (character != '-' && digits.size() < uuidTimeDigits)
            digits.push_back(character);
    }
    return wall_time { milliseconds { std::stoull(digits, nullptr, 16) } };
}

idempotency_decision idempotency_table::begin(const idempotency_key& key, std::uint64_t fingerprint, wall_time floor, wall_time now)
{
    expire(now);
    const auto found = m_records.find(key);
    if (found != m_records.end()) {
        if (found->second.fingerprint != fingerprint)
            return idempotency_decision::mismatch;
        return found->second.finished ? idempotency_decision::replay : idempotency_decision::wait;
    }
    const auto createdAt = keyCreationTime(key);
    if (!createdAt || *createdAt < floor + floorMargin || *createdAt < now - idempotencyRetention)
        return idempotency_decision::too_old;
    if (*createdAt > now + maxClockSkew)
        return idempotency_decision::from_future;
    if (m_records.size() >= maxIdempotencyRecords)
        return idempotency_decision::full;
    m_records.emplace(key, idempotency_record { key, fingerprint, false, outcome::outcome_unknown, reason::in_progress, {} });
    m_expiryQueue.emplace(now, key);
    return idempotency_decision::run;
}

void idempotency_table::finish(const idempotency_key& key, outcome result, reason why, std::string answer)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    if (result == outcome::not_run) {
        m_records.erase(found);
        return;
    }
    auto& record = found->second;
    record.finished = true;
    record.result = result;
    record.why = why;
    record.answer = std::move(answer);
}

const idempotency_record* idempotency_table::find(const idempotency_key& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<idempotency_record> idempotency_table::records() const
{
    std::vector<idempotency_record> result;
    result.reserve(m_records.size());
    for (const auto& [key, record] : m_records)
        result.push_back(record);
    return result;
}

void idempotency_table::merge(const std::vector<idempotency_record>& records)
{
    for (auto record : records) {
        if (!record.finished) {
            // The node that ran it is gone, so its outcome can no longer be determined.
            record.finished = true;
            record.result = outcome::outcome_unknown;
        }
        const auto createdAt = keyCreationTime(record.key);
        if (createdAt && m_records.emplace(record.key, record).second)
            m_expiryQueue.emplace(*createdAt, record.key);
    }
}

void idempotency_table::expire(wall_time now)
{
    // Records are kept for twice the retention, so that a key is refused for its age before its record is dropped.
    while (!m_expiryQueue.empty() && m_expiryQueue.begin()->first < now - 2 * idempotencyRetention) {
        m_records.erase(m_expiryQueue.begin()->second);
        m_expiryQueue.erase(m_expiryQueue.begin());
    }
}

} // namespace limpetpier
