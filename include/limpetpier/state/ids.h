#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace limpetpier {

// A string identifier with a distinct type for each tag, so that identifiers of different kinds cannot be mixed.
//
//     node_id node { "qc-laval-2" };
//     searcher_id searcher { node }; // does not compile
template <typename Tag>
class text_id {
public:
    text_id() = default;
    explicit text_id(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string& value() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    auto operator<=>(const text_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }

private:
    std::string m_value;
};

// A counter or version with a distinct type for each tag.
template <typename Tag>
class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }
    [[nodiscard]] constexpr number_id next() const { return number_id { m_value + 1 }; }

    constexpr auto operator<=>(const number_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }

private:
    std::uint64_t m_value = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const text_id<Tag>& id)
{
    return out << id.value();
}

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const number_id<Tag>& id)
{
    return out << id.value();
}

using node_id = text_id<struct node_tag>;
using searcher_id = text_id<struct searcher_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using front_id = text_id<struct front_tag>;
using tenant_id = text_id<struct tenant_tag>;
using idempotency_key = text_id<struct idempotency_key_tag>;
using edit_id = text_id<struct edit_tag>;

using epoch_number = number_id<struct epoch_tag>;
using revision_number = number_id<struct revision_tag>;
using section_version = number_id<struct section_version_tag>;
using incarnation_number = number_id<struct incarnation_tag>;
using boot_id = number_id<struct boot_tag>;
using query_number = number_id<struct query_tag>;

} // namespace limpetpier

template <typename Tag>
struct std::hash<limpetpier::text_id<Tag>> {
    std::size_t operator()(const limpetpier::text_id<Tag>& id) const { return std::hash<std::string> {}(id.value()); }
};

template <typename Tag>
struct std::hash<limpetpier::number_id<Tag>> {
    std::size_t operator()(const limpetpier::number_id<Tag>& id) const { return std::hash<std::uint64_t> {}(id.value()); }
};
