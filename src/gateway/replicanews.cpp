// A restored store counts its revisions on in a new era, and its list has to be read whole.
#include "gateway/replicanews.h"

#include <algorithm>

namespace arbutuspier {

void ReplicaNews::reset(platform::StoreRevision revision)
{
    m_covered = revision;
    m_steps.clear();
    m_rowCount = 0;
}

bool ReplicaNews::isComplete(const ReplicaNotice &notice) const
{
    const bool isKnown = m_covered != platform::StoreRevision{};
    return isKnown && notice.to.era == m_covered.era && notice.from <= m_covered;
}

void ReplicaNews::advance(platform::StoreRevision revision, const std::vector<ReplicaRow> &rows,
                          TimePoint now)
{
    if (revision <= m_covered)
        return;
    m_steps.push_back({m_covered, rows, now});
    m_rowCount += rows.size();
    m_covered = revision;
    trim(now);
}

void ReplicaNews::trim(TimePoint now)
{
    const auto isSurplus = [&] {
        return m_rowCount > m_options.maxRows
            || m_steps.front().learntAt + m_options.retention < now;
    };
    while (!m_steps.empty() && isSurplus()) {
        m_rowCount -= m_steps.front().rows.size();
        m_steps.pop_front();
    }
}

ReplicaNotice ReplicaNews::notice(TimePoint now)
{
    trim(now);
    ReplicaNotice result;
    result.to = m_covered;
    result.from = m_steps.empty() ? m_covered : m_steps.front().from;
    for (const Step &step : m_steps) {
        for (const ReplicaRow &row : step.rows) {
            std::erase_if(result.rows,
                          [&](const ReplicaRow &earlier) { return earlier.id == row.id; });
            result.rows.push_back(row);
            ReplicaRow &added = result.rows.back();
            if (added.entry)
                added.entry->coldLeft =
                    std::max(Duration::zero(), added.entry->coldLeft - (now - step.learntAt));
        }
    }
    return result;
}

} // namespace arbutuspier
