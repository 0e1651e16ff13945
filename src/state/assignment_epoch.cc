#include "limpetpier/state/assignment_epoch.h"

#include <algorithm>
#include <boost/json.hpp>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

// Returns the next epoch with the same members; the current epoch becomes the first entry of the history.
assignment_epoch nextEpoch(const assignment_epoch& current)
{
    assignment_epoch next;
    next.number = current.number.next();
    next.members = current.members;
    next.history = current.history;
    next.history.insert(next.history.begin(), past_epoch { current.number, current.members });
    if (next.history.size() > maxEpochHistory)
        next.history.resize(maxEpochHistory);
    return next;
}

json::array formatMembers(const std::vector<epoch_member>& members)
{
    json::array result;
    for (const auto& member : members) {
        result.push_back(json::object {
            { "id", member.id.value() },
            { "data_centre", member.dataCentre.value() },
            { "address", member.address },
            { "incarnation", member.incarnation.value() },
        });
    }
    return result;
}

std::vector<epoch_member> parseMembers(const json::value& value)
{
    std::vector<epoch_member> members;
    for (const auto& item : value.as_array()) {
        epoch_member member;
        member.id = node_id { json::value_to<std::string>(item.at("id")) };
        member.dataCentre = data_centre_id { json::value_to<std::string>(item.at("data_centre")) };
        member.address = json::value_to<std::string>(item.at("address"));
        member.incarnation = incarnation_number { item.at("incarnation").to_number<std::uint64_t>() };
        members.push_back(std::move(member));
    }
    return members;
}

} // namespace

const epoch_member* assignment_epoch::find(const node_id& id) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

std::optional<assignment_epoch> withMember(const assignment_epoch& current, const epoch_member& joining)
{
    const auto* existing = current.find(joining.id);
    if (existing && *existing == joining)
        return std::nullopt;
    auto next = nextEpoch(current);
    std::erase_if(next.members, [&](const epoch_member& member) { return member.id == joining.id; });
    next.members.push_back(joining);
    std::sort(next.members.begin(), next.members.end());
    return next;
}

std::optional<assignment_epoch> withoutMember(const assignment_epoch& current, const node_id& leaving)
{
    if (!current.contains(leaving))
        return std::nullopt;
    auto next = nextEpoch(current);
    std::erase_if(next.members, [&](const epoch_member& member) { return member.id == leaving; });
    return next;
}

std::string formatEpoch(const assignment_epoch& epoch)
{
    json::array history;
    for (const auto& past : epoch.history)
        history.push_back(json::object { { "number", past.number.value() }, { "members", formatMembers(past.members) } });
    return json::serialize(json::object {
        { "number", epoch.number.value() },
        { "members", formatMembers(epoch.members) },
        { "history", std::move(history) },
    });
}

assignment_epoch parseEpoch(const std::string& text)
{
    try {
        const auto value = json::parse(text);
        assignment_epoch epoch;
        epoch.number = epoch_number { value.at("number").to_number<std::uint64_t>() };
        epoch.members = parseMembers(value.at("members"));
        for (const auto& past : value.at("history").as_array())
            epoch.history.push_back({ epoch_number { past.at("number").to_number<std::uint64_t>() }, parseMembers(past.at("members")) });
        return epoch;
    } catch (const std::exception& error) {
        throw document_error("(epoch)", "", error.what(), "an epoch as written by a dispatcher", "stop every dispatcher before deleting the epoch key from the store");
    }
}

} // namespace limpetpier
