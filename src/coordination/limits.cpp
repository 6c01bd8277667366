// The CSV form of the limits table and the cell-by-cell comparison of two tables.
#include "arbutuspier/limits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace arbutuspier {

namespace {

constexpr std::array<std::string_view, 6> kColumns = {"team",       "class",       "weight",
                                                      "token_rate", "concurrency", "deadline_ms"};

using RowKey = std::pair<std::string_view, std::string_view>;

std::array<std::string, 4> cells(const LimitRow *row)
{
    if (!row)
        return {};
    return {std::to_string(row->weight), std::to_string(row->tokenRate),
            std::to_string(row->concurrency), std::to_string(row->deadlineMs)};
}

std::map<RowKey, const LimitRow *> byKey(std::span<const LimitRow> rows)
{
    std::map<RowKey, const LimitRow *> found;
    for (const LimitRow &row : rows)
        found[{row.team, row.className}] = &row;
    return found;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t\r";
    const auto first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string_view> splitCells(std::string_view line)
{
    std::vector<std::string_view> found;
    while (true) {
        const auto comma = line.find(',');
        found.push_back(trimmed(line.substr(0, comma)));
        if (comma == std::string_view::npos)
            return found;
        line.remove_prefix(comma + 1);
    }
}

template <class T>
bool parseNumber(std::string_view text, T &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

/// Collects the errors of a whole file, so that all of them can be reported at once.
class CsvErrors
{
public:
    void add(std::size_t line, std::string_view message)
    {
        if (!m_text.empty())
            m_text += "; ";
        m_text += "line " + std::to_string(line) + ": " + std::string(message);
    }
    bool isEmpty() const { return m_text.empty(); }
    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

bool isName(std::string_view text)
{
    constexpr std::size_t kMaxNameBytes = 128;
    const auto isAllowed = [](char c) {
        const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return isLetter || (c >= '0' && c <= '9')
            || std::string_view("._-*").find(c) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= kMaxNameBytes
        && std::all_of(text.begin(), text.end(), isAllowed);
}

LimitRow parseRow(const std::vector<std::string_view> &fields, std::size_t line, CsvErrors &errors)
{
    LimitRow row;
    row.team = fields[0];
    row.className = fields[1];
    if (!isName(fields[0]))
        errors.add(line, "team must be a name of letters, digits, '.', '_', '-' or '*'");
    if (!isName(fields[1]))
        errors.add(line, "class must be a name of letters, digits, '.', '_', '-' or '*'");
    if (!parseNumber(fields[2], row.weight) || row.weight == 0)
        errors.add(line, "weight must be a whole number of at least 1");
    if (!parseNumber(fields[3], row.tokenRate))
        errors.add(line, "token_rate must be a whole number, 0 for no limit");
    if (!parseNumber(fields[4], row.concurrency))
        errors.add(line, "concurrency must be a whole number, 0 for no limit");
    if (!parseNumber(fields[5], row.deadlineMs))
        errors.add(line, "deadline_ms must be a whole number, 0 for the default");
    return row;
}

} // namespace

std::vector<CellChange> diffRows(std::span<const LimitRow> before, std::span<const LimitRow> after)
{
    const auto beforeByKey = byKey(before);
    const auto afterByKey = byKey(after);
    std::set<RowKey> keys;
    for (const auto &[key, row] : beforeByKey)
        keys.insert(key);
    for (const auto &[key, row] : afterByKey)
        keys.insert(key);
    std::vector<CellChange> changes;
    for (const RowKey &key : keys) {
        const auto oldRow = beforeByKey.find(key);
        const auto newRow = afterByKey.find(key);
        const auto oldCells = cells(oldRow == beforeByKey.end() ? nullptr : oldRow->second);
        const auto newCells = cells(newRow == afterByKey.end() ? nullptr : newRow->second);
        for (std::size_t i = 0; i < oldCells.size(); ++i) {
            if (oldCells[i] != newCells[i])
                changes.push_back({std::string(key.first), std::string(key.second),
                                   std::string(kColumns[i + 2]), oldCells[i], newCells[i]});
        }
    }
    return changes;
}

Result<std::vector<LimitRow>> parseLimitsCsv(std::string_view text)
{
    std::vector<LimitRow> rows;
    std::set<std::pair<std::string, std::string>> seen;
    CsvErrors errors;
    std::size_t line = 0;
    bool hasHeader = false;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const std::string_view content = trimmed(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++line;
        if (content.empty())
            continue;
        const auto fields = splitCells(content);
        if (fields.size() != kColumns.size()) {
            errors.add(line, "expected 6 columns, found " + std::to_string(fields.size()));
            continue;
        }
        if (!hasHeader) {
            hasHeader = true;
            if (!std::equal(fields.begin(), fields.end(), kColumns.begin()))
                errors.add(line, "expected team,class,weight,token_rate,concurrency,deadline_ms");
            continue;
        }
        LimitRow row = parseRow(fields, line, errors);
        if (!seen.insert({row.team, row.className}).second)
            errors.add(line, "duplicate row for this team and class");
        rows.push_back(std::move(row));
    }
    if (!hasHeader)
        errors.add(line, "the header line is missing");
    if (!errors.isEmpty())
        return Error(errors.text());
    return rows;
}

std::string formatLimitsCsv(std::span<const LimitRow> rows)
{
    std::string text;
    for (std::size_t i = 0; i < kColumns.size(); ++i) {
        text += i == 0 ? "" : ",";
        text += kColumns[i];
    }
    text += '\n';
    for (const LimitRow &row : rows) {
        text += row.team + ',' + row.className;
        for (const std::string &cell : cells(&row))
            text += ',' + cell;
        text += '\n';
    }
    return text;
}

} // namespace arbutuspier
