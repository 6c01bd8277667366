// The platform's table service as the core uses it: versioned rows, conditional transactions.
#pragma once

#include "arbutuspier/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

/// A row's version; zero means the row does not exist.
using RowVersion = std::uint64_t;

/// A row as read. `version` is zero if it does not exist.
struct TableRow
{
    std::string key;
    RowVersion version = 0;
    std::string value;
};

/// Sets or erases a row if its version is `expected`.
struct ConditionalWrite
{
    std::string key;
    RowVersion expected = 0;
    std::string value;
    bool isErase = false;
};

/// All writes happen or none does.
struct TableTransaction
{
    std::vector<ConditionalWrite> writes;
};

/// Reads one row, or all rows whose key starts with `key` if `isPrefix`.
struct TableRead
{
    std::string key;
    bool isPrefix = false;
};

using TableRequest = std::variant<TableTransaction, TableRead>;

/// All writes are in effect; each row now has its expected version plus one.
struct TableCommitted
{
};
/// No write is in effect; the rows whose condition failed, as they are now.
struct TableConflict
{
    std::vector<TableRow> rows;
};
/// Rows read; a missing single row has version zero.
struct TableRows
{
    std::vector<TableRow> rows;
};
/// The service refused before any effect (down, over its rate).
struct TableUnavailable
{
};
/// No reply: a write may or may not have taken effect, now or later.
struct TableUnknown
{
};

using TableOutcome =
    std::variant<TableCommitted, TableConflict, TableRows, TableUnavailable, TableUnknown>;

} // namespace arbutuspier
