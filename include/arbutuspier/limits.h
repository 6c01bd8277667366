// The table of weights and limits that operators edit: rows, snapshots, edits and differences.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// Limits of one team in one class. Team "*" is the default row of its class.
struct LimitRow
{
    std::string team;
    std::string className;
    /// Relative share under contention; at least 1.
    std::uint32_t weight = 1;
    /// Tokens a second over the whole fleet; zero means no limit.
    std::uint64_t tokenRate = 0;
    /// Requests in flight over the whole fleet; zero means no limit.
    std::uint32_t concurrency = 0;
    /// Milliseconds a request may take; zero means the default of the settings.
    std::uint32_t deadlineMs = 0;

    friend bool operator==(const LimitRow &, const LimitRow &) = default;
};

/// The whole table at one version. Version zero is the built-in default.
struct LimitsSnapshot
{
    std::uint64_t version = 0;
    std::string editId;
    std::string editor;
    std::vector<LimitRow> rows;
};

/// One cell that differs between two tables.
struct CellChange
{
    std::string team;
    std::string className;
    std::string column;
    std::string before;
    std::string after;
};

/// Changed cells between two tables, in row order. An absent row has empty cells.
std::vector<CellChange> diffRows(std::span<const LimitRow> before, std::span<const LimitRow> after);

/// Reads the CSV form `team,class,weight,token_rate,concurrency,deadline_ms`.
/// The error names each bad line and cell.
Result<std::vector<LimitRow>> parseLimitsCsv(std::string_view text);

/// Writes the CSV form, header line first.
std::string formatLimitsCsv(std::span<const LimitRow> rows);

} // namespace arbutuspier
