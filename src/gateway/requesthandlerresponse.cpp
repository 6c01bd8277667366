// The part of RequestHandler that reads the response to an attempt and passes it on: a whole one
// after it was collected, the events of a stream as they come.
#include "gateway/requesthandler.h"

#include "kernel/httpstatus.h"
#include "net/transfercoding.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr int kOk = 200;

} // namespace

Task<RequestHandler::AttemptOutcome> RequestHandler::readResponse(UpstreamAttempt::SendResult sent,
                                                                  UpstreamAttempt &attempt,
                                                                  const DispatchGrant &grant)
{
    if (m_caller.isDisconnected())
        co_return AttemptOutcome::CallerDisconnected;
    if (m_backups.hasWinner())
        co_return AttemptOutcome::Superseded;
    if (sent == UpstreamAttempt::SendResult::NotConnected)
        co_return AttemptOutcome::NotExecuted;
    if (sent == UpstreamAttempt::SendResult::NoResponse)
        co_return AttemptOutcome::Lost;
    if (isEventStream(attempt))
        co_return co_await readStream(attempt, grant);
    co_return co_await readFullResponse(attempt);
}

bool RequestHandler::isEventStream(const UpstreamAttempt &attempt) const
{
    return m_joiner && attempt.status() == kOk && !attempt.head().isNotExecuted;
}

bool RequestHandler::isForThisRequest(const UpstreamAttempt &attempt) const
{
    return attempt.head().requestId == m_head.requestId;
}

bool RequestHandler::isValidResponse(const UpstreamAttempt &attempt) const
{
    const platform::ResponseHead &head = attempt.head();
    return isForThisRequest(attempt) && !head.isEncoded && head.isSigned;
}

bool RequestHandler::isRefusal(const UpstreamAttempt &attempt) const
{
    const bool isUnnamed = attempt.head().requestId.empty() && attempt.usedNewConnection();
    return attempt.head().isNotExecuted && (isForThisRequest(attempt) || isUnnamed);
}

Task<UpstreamAttempt::ReadProgress> RequestHandler::collectResponse(UpstreamAttempt &attempt,
                                                                    std::string &body,
                                                                    MemoryBudget::Share &share)
{
    UpstreamAttempt::ReadProgress progress = UpstreamAttempt::ReadProgress::More;
    bool hasRoom = true;
    while (progress == UpstreamAttempt::ReadProgress::More && hasRoom) {
        progress = co_await attempt.read(body);
        hasRoom = share.resize(body.size()) && body.size() <= kMaxResponseBytes;
    }
    const bool isComplete = progress == UpstreamAttempt::ReadProgress::Complete;
    if (isComplete && attempt.endsWithConnection() && isInChunks(body)) {
        attempt.setCause("chunks without their header field");
        co_return UpstreamAttempt::ReadProgress::Broken;
    }
    co_return progress;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readFullResponse(UpstreamAttempt &attempt)
{
    std::string body;
    MemoryBudget::Share share(m_state.responseMemory);
    const auto progress = co_await collectResponse(attempt, body, share);
    if (m_caller.isDisconnected())
        co_return AttemptOutcome::CallerDisconnected;
    if (m_backups.hasWinner())
        co_return AttemptOutcome::Superseded;
    if (isRefusal(attempt))
        co_return AttemptOutcome::NotExecuted;
    if (progress != UpstreamAttempt::ReadProgress::Complete || !isValidResponse(attempt))
        co_return AttemptOutcome::Lost;
    const bool isFailure = isServerErrorStatus(attempt.status());
    if (isFailure && (couldRetry() || m_backups.sentCount() > 0) && !m_hasSentHead)
        co_return AttemptOutcome::Failed;
    if (m_hasSentHead)
        co_return AttemptOutcome::Lost;
    m_backups.cancelRunning();
    // The time that the caller takes to read counts against the deadline only.
    attempt.expireAt(deadline());
    m_timeToFirstEvent = m_state.clock.now() - m_arrivedAt;
    recordCost(attempt);
    const bool isSent =
        co_await m_caller.sendResponse(attempt.status(), responseFields(attempt), std::move(body));
    log(isSent ? "answered" : "caller-gone", std::to_string(attempt.status()));
    co_return isSent ? AttemptOutcome::Completed : AttemptOutcome::CallerDisconnected;
}

Task<bool> RequestHandler::forwardEvents(UpstreamAttempt &attempt, const std::string &events)
{
    const TimePoint now = m_state.clock.now();
    if (m_hasSentHead)
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    m_lastEventAt = now;
    if (!m_hasSentHead) {
        m_hasSentHead = true;
        m_timeToFirstEvent = now - m_arrivedAt;
        const bool isSent =
            co_await m_caller.sendStreamHead(attempt.status(), responseFields(attempt));
        if (!isSent)
            co_return false;
    }
    co_return co_await m_caller.sendChunk(events);
}

void RequestHandler::onFirstEvent(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    if (grant.isRelay())
        return;
    m_state.dispatchQueue.beginDecode(grant.activeRequestId);
    const Duration timeToFirstEvent = m_state.clock.now() - attempt.sentAt();
    const bool showsSlowdown = grant.wasIdle && grant.forecast > Duration::zero();
    const double ratio =
        showsSlowdown ? toSeconds(timeToFirstEvent) / toSeconds(grant.forecast) : 0;
    m_state.recordSuccess(grant.replica, ratio);
}

void RequestHandler::onEvents(UpstreamAttempt &attempt)
{
    const AttemptProgress before = attempt.progress();
    attempt.recordEvents(m_state.clock.now());
    const bool keepsWriting = attempt.progress() == AttemptProgress::KeepsWriting;
    if (keepsWriting && attempt.progress() != before)
        m_state.suspects.onWriting(m_identity);
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readStream(UpstreamAttempt &attempt,
                                                                const DispatchGrant &grant)
{
    if (!isValidResponse(attempt))
        co_return AttemptOutcome::Lost;
    bool isDecoding = false;
    m_joiner->beginAttempt();
    UpstreamAttempt::ReadProgress progress = UpstreamAttempt::ReadProgress::More;
    while (progress == UpstreamAttempt::ReadProgress::More) {
        std::string bytes;
        progress = co_await attempt.read(bytes);
        if (m_caller.isDisconnected())
            co_return AttemptOutcome::CallerDisconnected;
        if (m_backups.hasWinner())
            co_return AttemptOutcome::Superseded;
        const JoinedEvents joined = m_joiner->feed(bytes);
        if (joined.isFaulty)
            attempt.setCause("faulty event");
        if (joined.events.empty() && joined.isFaulty)
            co_return AttemptOutcome::Lost;
        if (joined.events.empty())
            continue;
        if (!isDecoding) {
            onFirstEvent(attempt, grant);
            // A removed replica may still finish its stream, so from now on only the inter-event
            // gap counts, not whether the directory lists the replica.
            attempt.onExpiry = [this, &attempt, &grant] { return nextEventCheck(attempt, grant); };
        }
        isDecoding = true;
        onEvents(attempt);
        m_backups.cancelRunning();
        // The time that the caller takes to read counts against the deadline only.
        attempt.expireAt(deadline());
        if (!co_await forwardEvents(attempt, joined.events))
            co_return AttemptOutcome::CallerDisconnected;
        if (joined.isFaulty)
            co_return AttemptOutcome::Lost;
        if (progress == UpstreamAttempt::ReadProgress::More)
            attempt.expireAt(nextEventDeadline());
    }
    const bool isComplete =
        progress == UpstreamAttempt::ReadProgress::Complete && m_joiner->isAtEnd();
    if (!isComplete || !m_hasSentHead)
        co_return AttemptOutcome::Lost;
    m_backups.cancelRunning();
    recordCost(attempt);
    attempt.expireAt(deadline());
    if (!co_await m_caller.sendLastChunk())
        co_return AttemptOutcome::CallerDisconnected;
    log("answered", std::to_string(attempt.status()));
    co_return AttemptOutcome::Completed;
}

} // namespace arbutuspier
