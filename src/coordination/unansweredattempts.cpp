// Entries expire by the end of the attempt, as a replica drops a request some time after its
// connection was closed.
#include "arbutuspier/unansweredattempts.h"

#include <algorithm>
#include <utility>

namespace arbutuspier {

void UnansweredAttempts::record(const ReplicaIncarnation &incarnation, UnansweredAttempt attempt,
                                TimePoint now)
{
    auto &attempts = m_attempts[incarnation];
    const bool isFull = attempts.size() >= m_options.maxAttemptsPerReplica;
    if (isFull && !attempts.contains(attempt.fingerprint))
        return;
    Record &record = attempts[attempt.fingerprint];
    record.sentAt = std::max(record.sentAt, attempt.sentAt);
    record.endedAt = now;
    record.hasOutput = record.hasOutput && attempt.hasOutput;
    if (!attempt.parts.empty())
        record.parts = std::move(attempt.parts);
}

std::vector<UnansweredAttempt> UnansweredAttempts::of(const ReplicaIncarnation &incarnation,
                                                      TimePoint now) const
{
    std::vector<UnansweredAttempt> result;
    const auto found = m_attempts.find(incarnation);
    if (found == m_attempts.end())
        return result;
    for (const auto &[fingerprint, record] : found->second) {
        if (now < record.endedAt + m_options.window)
            result.push_back({fingerprint, record.sentAt, record.hasOutput, record.parts});
    }
    return result;
}

std::vector<ReplicaIncarnation> UnansweredAttempts::incarnations() const
{
    std::vector<ReplicaIncarnation> result;
    for (const auto &[incarnation, attempts] : m_attempts)
        result.push_back(incarnation);
    return result;
}

void UnansweredAttempts::forget(Fingerprint fingerprint)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        it->second.erase(fingerprint);
        it = it->second.empty() ? m_attempts.erase(it) : std::next(it);
    }
}

void UnansweredAttempts::tick(TimePoint now)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        std::erase_if(it->second, [&](const auto &entry) {
            return now >= entry.second.endedAt + m_options.window;
        });
        it = it->second.empty() ? m_attempts.erase(it) : std::next(it);
    }
}

} // namespace arbutuspier
