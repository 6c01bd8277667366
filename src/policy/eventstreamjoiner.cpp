// Forwards events byte for byte.
#include "arbutuspier/eventstreamjoiner.h"

#include "kernel/eventend.h"
#include "kernel/streamevent.h"

namespace arbutuspier {

void EventStreamJoiner::beginAttempt()
{
    m_pending.clear();
    m_attemptId.reset();
    m_isLastIdUnconfirmed = false;
}

EventStreamJoiner::Verdict EventStreamJoiner::judge(std::string_view event)
{
    const StreamEvent fields = readStreamEvent(event);
    if (!fields.isWellFormed)
        return Verdict::Faulty;
    if (fields.isEmpty())
        return Verdict::Forward;
    if (!fields.id)
        return Verdict::Faulty;
    const std::uint64_t id = *fields.id;
    const bool isFirst = !m_lastId;
    const bool isInOrder = !m_attemptId || id > *m_attemptId;
    const bool skipsAnId = m_lastId && id > *m_lastId + 1;
    if (!isInOrder)
        return Verdict::OutOfOrder;
    if (skipsAnId)
        return Verdict::Faulty;
    m_attemptId = id;
    const bool isDuplicate = m_lastId && id <= *m_lastId;
    if (isDuplicate)
        return Verdict::Drop;
    m_lastId = id;
    m_isLastIdUnconfirmed = isFirst;
    return Verdict::Forward;
}

void EventStreamJoiner::discardFirstId(std::string &events, bool wasForwarded)
{
    m_isLastIdWrong = wasForwarded;
    if (wasForwarded)
        return;
    events.clear();
    m_lastId.reset();
}

JoinedEvents EventStreamJoiner::feed(std::string_view bytes)
{
    m_pending += bytes;
    const bool hadId = m_lastId.has_value();
    JoinedEvents joined;
    std::size_t start = 0;
    while (!joined.isFaulty) {
        const std::size_t next = endOfEvent(m_pending, start);
        if (next == std::string_view::npos)
            break;
        const std::string_view event(m_pending.data() + start, next - start);
        start = next;
        const Verdict verdict = judge(event);
        joined.isFaulty = verdict == Verdict::Faulty || verdict == Verdict::OutOfOrder;
        if (verdict == Verdict::Forward)
            joined.events += event;
        if (verdict == Verdict::OutOfOrder && m_isLastIdUnconfirmed)
            discardFirstId(joined.events, hadId);
    }
    m_pending.erase(0, start);
    joined.isFaulty = joined.isFaulty || m_pending.size() > kMaxEventBytes;
    return joined;
}

bool EventStreamJoiner::isAtEnd() const
{
    const bool endsBeforeLastId = m_attemptId && m_lastId && *m_attemptId < *m_lastId;
    return isAtEventBoundary() && !endsBeforeLastId;
}

} // namespace arbutuspier
