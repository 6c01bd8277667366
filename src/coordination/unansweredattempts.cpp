// Entries expire by the end of the attempt, as a replica drops a request some time after its
// connection was closed.
#include "arbutuspier/unansweredattempts.h"

namespace arbutuspier {

void UnansweredAttempts::record(const ReplicaIncarnation &incarnation, Fingerprint fingerprint,
                                TimePoint now)
{
    auto &attempts = m_attempts[incarnation];
    const bool isFull = attempts.size() >= m_options.maxAttemptsPerReplica;
    if (!isFull || attempts.contains(fingerprint))
        attempts[fingerprint] = now;
}

std::vector<Fingerprint> UnansweredAttempts::of(const ReplicaIncarnation &incarnation,
                                                TimePoint now) const
{
    std::vector<Fingerprint> result;
    const auto found = m_attempts.find(incarnation);
    if (found == m_attempts.end())
        return result;
    for (const auto &[fingerprint, endedAt] : found->second) {
        if (now < endedAt + m_options.window)
            result.push_back(fingerprint);
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

void UnansweredAttempts::tick(TimePoint now)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        std::erase_if(it->second,
                      [&](const auto &entry) { return now >= entry.second + m_options.window; });
        it = it->second.empty() ? m_attempts.erase(it) : std::next(it);
    }
}

} // namespace arbutuspier
