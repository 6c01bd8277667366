// Keeps the rows in a map and limits reads and writes with a token bucket each.
#include "model/tablemodel.h"

#include <algorithm>

namespace arbutuspier::model {

bool TableModel::consumeToken(double &tokens, TimePoint &updatedAt, double rate, TimePoint now)
{
    if (updatedAt == TimePoint{})
        tokens = rate;
    tokens = std::min(rate, tokens + rate * toSeconds(now - updatedAt));
    updatedAt = now;
    if (tokens < 1.0)
        return false;
    tokens -= 1.0;
    return true;
}

TableOutcome TableModel::apply(const TableRequest &request, TimePoint now)
{
    if (const auto *transaction = std::get_if<TableTransaction>(&request)) {
        if (!consumeToken(m_writeTokens, m_writeTokensAt, m_options.writesPerSecond, now))
            return TableUnavailable{};
        ++m_writes;
        return applyTransaction(*transaction);
    }
    if (!consumeToken(m_readTokens, m_readTokensAt, m_options.readsPerSecond, now))
        return TableUnavailable{};
    ++m_reads;
    return applyRead(std::get<TableRead>(request));
}

TableOutcome TableModel::applyTransaction(const TableTransaction &transaction)
{
    TableConflict conflict;
    for (const ConditionalWrite &write : transaction.writes) {
        auto it = m_rows.find(write.key);
        const RowVersion version = it == m_rows.end() ? 0 : it->second.version;
        if (version != write.expected)
            conflict.rows.push_back(version == 0 ? TableRow{write.key, 0, {}} : it->second);
    }
    if (!conflict.rows.empty())
        return conflict;
    for (const ConditionalWrite &write : transaction.writes) {
        if (write.isErase)
            m_rows.erase(write.key);
        else
            m_rows[write.key] = {write.key, write.expected + 1, write.value};
    }
    return TableCommitted{};
}

TableOutcome TableModel::applyRead(const TableRead &read) const
{
    TableRows found;
    if (!read.isPrefix) {
        auto it = m_rows.find(read.key);
        found.rows.push_back(it == m_rows.end() ? TableRow{read.key, 0, {}} : it->second);
        return found;
    }
    for (auto it = m_rows.lower_bound(read.key); it != m_rows.end(); ++it) {
        if (it->first.compare(0, read.key.size(), read.key) != 0)
            break;
        found.rows.push_back(it->second);
    }
    return found;
}

} // namespace arbutuspier::model
