#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/state/ids.h"

namespace limpetpier {

using workspace_id = text_id<struct workspace_tag>;

// A customer's workspace as the operator's configuration describes it. The keys that name it are kept apart, as digests.
struct workspace {
    workspace_id id;
    std::optional<std::uint32_t> priority; // replaces the route's priority if set; 0 is the highest
    double requestsPerSecond = 0; // over all processes; 0 means no limit
    double burst = 0; // requests in addition to that rate
};

// SHA-256 digest of a key. Keys themselves are neither kept nor compared, so they cannot enter a log or an error.
class key_digest {
public:
    // Equal to the digest of no key.
    key_digest() = default;

    static key_digest of(std::string_view key);

    // Parses the result of hex(). Returns nothing if the text is anything else or the digest of no key.
    static std::optional<key_digest> parse(std::string_view hex);

    [[nodiscard]] std::string hex() const;

    // The start of hex(), by which logs name a key.
    [[nodiscard]] std::string shortName() const;

    auto operator<=>(const key_digest&) const = default;

private:
    std::array<std::uint8_t, 32> m_bytes {};
};

// Returns whether a key consists of one or more visible ASCII characters. No request can present any other key.
bool isPresentableKey(std::string_view key);

// The workspaces of one version of the configuration, by name and by key. A key that is listed for two workspaces names
// neither of them, whatever their order.
class workspace_directory {
public:
    // Adds a workspace with the digests of its keys. Returns false, without effect, if its name is taken.
    bool add(workspace entry, const std::vector<key_digest>& keys);

    // Returns the workspace, or null if there is none.
    [[nodiscard]] const workspace* find(const workspace_id& id) const;
    [[nodiscard]] const workspace* find(const key_digest& key) const;

    [[nodiscard]] std::size_t size() const { return m_workspaces.size(); }

    // All workspaces by name.
    [[nodiscard]] const std::map<workspace_id, workspace>& all() const { return m_workspaces; }

    // Keys that are listed for more than one workspace.
    [[nodiscard]] const std::set<key_digest>& ambiguousKeys() const { return m_ambiguousKeys; }

private:
    std::map<workspace_id, workspace> m_workspaces;
    std::map<key_digest, workspace_id> m_keys;
    std::set<key_digest> m_ambiguousKeys;
};

} // namespace limpetpier
