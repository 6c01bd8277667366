// A simulator of the platform's table service: versioned rows, conditional transactions and rate
// limits. The timing and the faults of its calls are simulated by its users.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/table.h"

#include <cstdint>
#include <map>
#include <string>

namespace arbutuspier::model {

struct TableModelOptions
{
    double writesPerSecond = 300;
    double readsPerSecond = 2000;
};

class TableModel
{
public:
    explicit TableModel(TableModelOptions options)
        : m_options(options)
    {
    }

    /// Executes a request and returns its outcome, which is TableUnavailable over the rate limit.
    TableOutcome apply(const TableRequest &request, TimePoint now);

    /// Transactions and reads that were executed.
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t reads() const { return m_reads; }
    std::size_t rowCount() const { return m_rows.size(); }
    const std::map<std::string, TableRow> &rows() const { return m_rows; }

private:
    TableOutcome applyTransaction(const TableTransaction &transaction);
    TableOutcome applyRead(const TableRead &read) const;
    bool consumeToken(double &tokens, TimePoint &updatedAt, double rate, TimePoint now);

    TableModelOptions m_options;
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    double m_writeTokens = 0;
    double m_readTokens = 0;
    TimePoint m_writeTokensAt;
    TimePoint m_readTokensAt;
};

} // namespace arbutuspier::model
