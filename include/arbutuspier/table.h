// Requests and outcomes of the platform's table service: versioned rows and conditional
// transactions.
#pragma once

#include "arbutuspier/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

/// A row's version, which grows by one with each write; zero means that the row does not exist.
using RowVersion = std::uint64_t;

/// A row as it was read. `version` is zero if the row does not exist.
struct TableRow
{
    std::string key;
    RowVersion version = 0;
    std::string value;
};

/// Sets the row to `value`, or erases it, on condition that its current version is `expected`.
struct ConditionalWrite
{
    std::string key;
    RowVersion expected = 0;
    std::string value;
    bool isErase = false;
};

/// Writes that take effect all together or not at all.
struct TableTransaction
{
    std::vector<ConditionalWrite> writes;
};

/// Reads the row `key` or, if `isPrefix` is true, all rows whose key starts with `key`.
struct TableRead
{
    std::string key;
    bool isPrefix = false;
};

using TableRequest = std::variant<TableTransaction, TableRead>;

/// All writes took effect. Each row now has its expected version plus one.
struct TableCommitted
{
};
/// No write took effect. `rows` holds the current state of the rows whose condition failed.
struct TableConflict
{
    std::vector<TableRow> rows;
};
/// The result of a read. If the single row that was asked for doesn't exist, it has version zero.
struct TableRows
{
    std::vector<TableRow> rows;
};
/// The service refused the request, for example because it is down or over its rate limit. Nothing
/// took effect.
struct TableUnavailable
{
};
/// There was no reply. The write may have taken effect, may still do so, or may never do so.
struct TableUnknown
{
};

using TableOutcome =
    std::variant<TableCommitted, TableConflict, TableRows, TableUnavailable, TableUnknown>;

} // namespace arbutuspier
