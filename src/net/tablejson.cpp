// Decoding checks every field. A response that can't be decoded counts as none: its outcome is
// unknown.
#include "net/tablejson.h"

#include <nlohmann/json.hpp>

namespace arbutuspier {

namespace {

using Json = nlohmann::json;

bool hasText(const Json &json, const char *key)
{
    return json.contains(key) && json[key].is_string();
}

bool hasNumber(const Json &json, const char *key)
{
    return json.contains(key) && json[key].is_number_unsigned();
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json encodeRows(const std::vector<TableRow> &rows)
{
    Json list = Json::array();
    for (const TableRow &row : rows)
        list.push_back({{"key", row.key}, {"version", row.version}, {"value", row.value}});
    return list;
}

std::optional<std::vector<TableRow>> decodeRows(const Json &json)
{
    if (!json.contains("rows") || !json["rows"].is_array())
        return std::nullopt;
    std::vector<TableRow> rows;
    for (const Json &item : json["rows"]) {
        if (!item.is_object() || !hasText(item, "key") || !hasNumber(item, "version")
            || !hasText(item, "value"))
            return std::nullopt;
        rows.push_back({item["key"].get<std::string>(), item["version"].get<RowVersion>(),
                        item["value"].get<std::string>()});
    }
    return rows;
}

} // namespace

std::string encodeTableRequest(const TableRequest &request)
{
    Json json;
    if (const auto *read = std::get_if<TableRead>(&request)) {
        json["read"] = read->key;
        json["prefix"] = read->isPrefix;
        return dump(json);
    }
    json["writes"] = Json::array();
    for (const ConditionalWrite &write : std::get<TableTransaction>(request).writes)
        json["writes"].push_back({{"key", write.key},
                                  {"expected", write.expected},
                                  {"value", write.value},
                                  {"erase", write.isErase}});
    return dump(json);
}

std::optional<TableRequest> decodeTableRequest(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    if (hasText(json, "read")) {
        const bool isPrefix =
            json.contains("prefix") && json["prefix"].is_boolean() && json["prefix"].get<bool>();
        return TableRead{json["read"].get<std::string>(), isPrefix};
    }
    if (!json.contains("writes") || !json["writes"].is_array())
        return std::nullopt;
    TableTransaction transaction;
    for (const Json &item : json["writes"]) {
        if (!item.is_object() || !hasText(item, "key") || !hasNumber(item, "expected")
            || !hasText(item, "value"))
            return std::nullopt;
        const bool isErase =
            item.contains("erase") && item["erase"].is_boolean() && item["erase"].get<bool>();
        transaction.writes.push_back({item["key"].get<std::string>(),
                                      item["expected"].get<RowVersion>(),
                                      item["value"].get<std::string>(), isErase});
    }
    return transaction;
}

std::string encodeTableOutcome(const TableOutcome &outcome)
{
    Json json;
    if (std::holds_alternative<TableCommitted>(outcome)) {
        json["outcome"] = "committed";
    } else if (const auto *conflict = std::get_if<TableConflict>(&outcome)) {
        json["outcome"] = "conflict";
        json["rows"] = encodeRows(conflict->rows);
    } else if (const auto *rows = std::get_if<TableRows>(&outcome)) {
        json["outcome"] = "rows";
        json["rows"] = encodeRows(rows->rows);
    } else {
        json["outcome"] = "unavailable";
    }
    return dump(json);
}

TableOutcome decodeTableOutcome(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !hasText(json, "outcome"))
        return TableUnknown{};
    const auto &kind = json["outcome"].get_ref<const std::string &>();
    if (kind == "committed")
        return TableCommitted{};
    if (kind == "unavailable")
        return TableUnavailable{};
    auto rows = decodeRows(json);
    if (!rows)
        return TableUnknown{};
    if (kind == "conflict")
        return TableConflict{std::move(*rows)};
    if (kind == "rows")
        return TableRows{std::move(*rows)};
    return TableUnknown{};
}

} // namespace arbutuspier
