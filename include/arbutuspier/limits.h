// Rows and snapshots of the table of team weights and limits that operators edit, the differences
// between two tables, and the table's CSV form.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// Weight and limits of one team in one request class. Team "*" is the default row of its class.
struct LimitRow
{
    std::string team;
    std::string className;
    /// Relative share under contention; at least 1.
    std::uint32_t weight = 1;
    /// Tokens per second over the whole fleet; zero means no limit.
    std::uint64_t tokenRate = 0;
    /// Most requests in flight over the whole fleet; zero means no limit.
    std::uint32_t concurrency = 0;
    /// Longest time that a request may take, in milliseconds; zero means the default from the
    /// settings.
    std::uint32_t deadlineMs = 0;

    friend bool operator==(const LimitRow &, const LimitRow &) = default;
};

/// The whole table at one version, and the edit that led to it. Version zero is the built-in
/// default.
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

/// Returns the cells that differ between two tables, ordered by team and class. The cells of an
/// absent row count as empty.
std::vector<CellChange> diffRows(std::span<const LimitRow> before, std::span<const LimitRow> after);

/// Parses the CSV form, whose header line is
/// `team,class,weight,token_rate,concurrency,deadline_ms`. The error message names every invalid
/// line and cell.
Result<std::vector<LimitRow>> parseLimitsCsv(std::string_view text);

/// Formats rows as CSV, with the header line first.
std::string formatLimitsCsv(std::span<const LimitRow> rows);

} // namespace arbutuspier
