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
    m_steps.push_back({m_covered, revision, rows, now});
    m_rowCount += rows.size();
    m_covered = revision;
    trim(now);
}

void ReplicaNews::trim(TimePoint now)
{
    const auto isSurplus = [&] {
        const Step &step = m_steps.front();
        const bool isTold = step.wasSent && step.notices >= m_options.minNotices;
        return (isTold && m_rowCount > m_options.maxRepeatedRows) || m_rowCount > m_options.maxRows
            || step.learntAt + m_options.retention < now;
    };
    while (!m_steps.empty() && isSurplus()) {
        m_rowCount -= m_steps.front().rows.size();
        m_steps.pop_front();
    }
}

void ReplicaNews::onHeard(const ReplicaNotice &notice)
{
    for (Step &step : m_steps) {
        const bool isTold =
            notice.to.era == step.to.era && notice.from <= step.from && step.to <= notice.to;
        if (isTold)
            ++step.notices;
    }
}

ReplicaNotice ReplicaNews::notice(TimePoint now)
{
    trim(now);
    ReplicaNotice result;
    result.to = m_covered;
    result.from = m_steps.empty() ? m_covered : m_steps.front().from;
    for (Step &step : m_steps) {
        ++step.notices;
        step.wasSent = true;
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
