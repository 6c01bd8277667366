// Evidence and clearances are kept as sets and maxima; the quarantined parts are computed from them
// when they are asked for.
#include "arbutuspier/promptpartquarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutuspier {

namespace {

/// Most changes of the level of a part whose time is remembered.
constexpr std::size_t kMaxLevelChanges = 16;
/// Number of levels from which a part is written to the store.
constexpr std::size_t kMinSuspectLevels = 2;

bool isSameSequence(std::span<const PartExposure> a, std::span<const PartExposure> b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const auto &x, const auto &y) { return x.part == y.part; });
}

/// Prompts of one request that differ have no order in common; they are sorted by id, so that the
/// order of merging doesn't show. Returns true if that changed the order.
bool sortParts(std::vector<PartExposure> &exposures)
{
    const auto isBefore = [](const auto &a, const auto &b) { return a.part < b.part; };
    if (std::is_sorted(exposures.begin(), exposures.end(), isBefore))
        return false;
    std::sort(exposures.begin(), exposures.end(), isBefore);
    return true;
}

template <class Map>
void eraseOldest(Map &map)
{
    const auto oldest = std::min_element(map.begin(), map.end(), [](const auto &a, const auto &b) {
        return a.second.updatedAt < b.second.updatedAt;
    });
    map.erase(oldest);
}

} // namespace

std::uint32_t PromptPartQuarantine::clearedLevel(PromptPartId part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? 0 : found->second.clearedLevel;
}

bool PromptPartQuarantine::hasSucceeded(PromptPartId part) const
{
    return m_succeeded.contains(part) || m_succeededBefore.contains(part) || clearedLevel(part) > 0;
}

void PromptPartQuarantine::rememberSuccess(PromptPartId part)
{
    if (!m_succeeded.insert(part).second || m_succeeded.size() < m_options.successMemory)
        return;
    m_succeededBefore = std::exchange(m_succeeded, {});
}

std::vector<PartExposure> PromptPartQuarantine::exposuresOf(std::span<const PromptPartId> parts,
                                                            TimePoint sentAt, TimePoint now) const
{
    std::vector<PartExposure> exposures;
    for (PromptPartId part : parts) {
        std::uint32_t levelBefore = 0;
        const auto found = m_parts.find(part);
        if (found != m_parts.end()) {
            for (const LevelChange &change : found->second.changes) {
                const bool isBefore =
                    change.knownAt <= sentAt && now >= change.knownAt + m_options.minLevelInterval;
                levelBefore = isBefore ? change.level : levelBefore;
            }
        }
        exposures.push_back({part, levelBefore + 1, hasSucceeded(part)});
    }
    return exposures;
}

PromptPartQuarantine::Crash &PromptPartQuarantine::touchCrash(std::uint64_t crash, TimePoint now)
{
    if (!m_crashes.contains(crash) && m_crashes.size() >= m_options.maxCrashes)
        eraseOldest(m_crashes);
    Crash &record = m_crashes[crash];
    record.updatedAt = now;
    return record;
}

void PromptPartQuarantine::raiseLevel(PromptPartId part, std::uint32_t level, TimePoint now)
{
    if (!m_parts.contains(part) && m_parts.size() >= m_options.maxParts)
        eraseOldest(m_parts);
    Part &record = m_parts[part];
    record.updatedAt = now;
    if (level <= record.level)
        return;
    record.level = level;
    record.isOwnLevel = false;
    record.changes.push_back({now, level});
    if (record.changes.size() > kMaxLevelChanges)
        record.changes.erase(record.changes.begin());
}

bool PromptPartQuarantine::addExposures(Crash &crash, const PartEvidence &evidence) const
{
    std::vector<PartExposure> &known = crash.requests[evidence.request];
    bool isNew = false;
    for (const PartExposure &exposure : evidence.parts) {
        const auto same = std::find_if(known.begin(), known.end(), [&](const PartExposure &other) {
            return other.part == exposure.part;
        });
        if (same == known.end()) {
            known.push_back(exposure);
            isNew = true;
            continue;
        }
        isNew =
            isNew || exposure.level > same->level || (exposure.hasSucceeded && !same->hasSucceeded);
        same->level = std::max(same->level, exposure.level);
        same->hasSucceeded = same->hasSucceeded || exposure.hasSucceeded;
    }
    if (!isSameSequence(known, evidence.parts))
        isNew = sortParts(known) || isNew;
    // Which requests are kept must not depend on the order of merging.
    if (crash.requests.size() > m_options.maxRequestsPerCrash) {
        const auto last = std::prev(crash.requests.end());
        isNew = isNew && last->first != evidence.request;
        crash.requests.erase(last);
    }
    return isNew;
}

bool PromptPartQuarantine::mergeEvidence(const PartEvidence &evidence, TimePoint now)
{
    Crash &crash = touchCrash(evidence.crash, now);
    if (evidence.isRetraction()) {
        const bool isNew = !crash.isRetracted;
        crash.isRetracted = true;
        m_isOutdated = m_isOutdated || isNew;
        return isNew;
    }
    if (!addExposures(crash, evidence))
        return false;
    for (const PartExposure &exposure : evidence.parts)
        raiseLevel(exposure.part, exposure.level, now);
    m_isOutdated = true;
    return true;
}

bool PromptPartQuarantine::mergeClearance(const PartClearance &clearance, TimePoint now)
{
    raiseLevel(clearance.part, clearance.level, now);
    Part &part = m_parts[clearance.part];
    if (clearance.level <= part.clearedLevel)
        return false;
    part.clearedLevel = clearance.level;
    m_isOutdated = true;
    return true;
}

PartNotices PromptPartQuarantine::onCrash(std::uint64_t crash, Fingerprint request,
                                          std::vector<PartExposure> exposures, TimePoint now)
{
    PartNotices notices;
    if (exposures.empty())
        return notices;
    PartEvidence evidence{crash, request, std::move(exposures)};
    if (!mergeEvidence(evidence, now))
        return notices;
    for (const PartExposure &exposure : evidence.parts) {
        Part &part = m_parts[exposure.part];
        part.isOwnLevel = part.isOwnLevel || exposure.level == part.level;
    }
    notices.evidence.push_back(std::move(evidence));
    return notices;
}

PartNotices PromptPartQuarantine::retract(std::uint64_t crash, TimePoint now)
{
    PartNotices notices;
    if (!m_crashes.contains(crash))
        return notices;
    PartEvidence retraction{crash, {}, {}};
    if (mergeEvidence(retraction, now))
        notices.evidence.push_back(std::move(retraction));
    return notices;
}

PartNotices PromptPartQuarantine::onSuccess(std::span<const PromptPartId> parts, TimePoint now)
{
    PartNotices notices;
    for (PromptPartId part : parts) {
        rememberSuccess(part);
        const auto found = m_parts.find(part);
        if (found == m_parts.end())
            continue;
        const PartClearance clearance{part, found->second.level};
        if (mergeClearance(clearance, now))
            notices.clearances.push_back(clearance);
    }
    return notices;
}

bool PromptPartQuarantine::merge(const PartNotices &notices, TimePoint now)
{
    bool hasChanged = false;
    for (const PartEvidence &evidence : notices.evidence)
        hasChanged = mergeEvidence(evidence, now) || hasChanged;
    for (const PartClearance &clearance : notices.clearances)
        hasChanged = mergeClearance(clearance, now) || hasChanged;
    return hasChanged;
}

void PromptPartQuarantine::tick(TimePoint now)
{
    const auto isExpired = [&](const auto &entry) {
        return now >= entry.second.updatedAt + m_options.recordLifetime;
    };
    const bool hasErased = std::erase_if(m_crashes, isExpired) + std::erase_if(m_parts, isExpired);
    m_isOutdated = m_isOutdated || hasErased;
}

PromptPartId PromptPartQuarantine::quarantinedPart(const RequestIdentity &request)
{
    update();
    const auto isRejected = [&](PromptPartId part) {
        if (!m_quarantined.contains(part))
            return false;
        const auto record = m_parts.find(part);
        const bool isTrial = part == request.triedPart && record != m_parts.end()
            && record->second.level == request.triedLevel;
        return !isTrial;
    };
    const auto found = std::find_if(request.parts.begin(), request.parts.end(), isRejected);
    return found == request.parts.end() ? PromptPartId{} : *found;
}

Duration PromptPartQuarantine::trialIntervalOf(const Case &evidence) const
{
    Duration interval = m_options.trialInterval;
    for (std::size_t level = minLevelsOf(evidence); level < evidence.levels.size(); ++level)
        interval = std::min(2 * interval, m_options.maxTrialInterval);
    return interval;
}

bool PromptPartQuarantine::tryBegin(RequestIdentity &request, PromptPartId part, TimePoint now)
{
    update();
    const auto evidence = m_quarantined.find(part);
    const auto found = m_parts.find(part);
    if (evidence == m_quarantined.end() || found == m_parts.end())
        return false;
    Part &record = found->second;
    // The VM that reported the last level may have ended, so that others have to try in the end.
    const Duration interval =
        record.isOwnLevel ? trialIntervalOf(evidence->second) : m_options.maxTrialInterval;
    const TimePoint last = std::max(record.changes.back().knownAt, record.triedAt);
    if (now < last + interval)
        return false;
    record.triedAt = now;
    request.triedPart = part;
    request.triedLevel = record.level;
    return true;
}

bool PromptPartQuarantine::isExplained(std::uint64_t crash)
{
    update();
    return m_explained.contains(crash);
}

std::vector<PartQuarantineChange> PromptPartQuarantine::takeChanges()
{
    update();
    return std::exchange(m_changes, {});
}

namespace {

template <class Item>
std::vector<Item> newestFirst(std::vector<std::pair<TimePoint, Item>> items, std::size_t maxCount)
{
    std::stable_sort(items.begin(), items.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    items.resize(std::min(items.size(), maxCount));
    std::vector<Item> result;
    result.reserve(items.size());
    for (auto &[updatedAt, item] : items)
        result.push_back(std::move(item));
    return result;
}

} // namespace

PartNotices PromptPartQuarantine::notices(std::size_t maxCount) const
{
    std::vector<std::pair<TimePoint, PartEvidence>> evidence;
    for (const auto &[digest, crash] : m_crashes) {
        if (crash.isRetracted)
            evidence.push_back({crash.updatedAt, {digest, {}, {}}});
        for (const auto &[request, exposures] : crash.requests)
            evidence.push_back({crash.updatedAt, {digest, request, exposures}});
    }
    std::vector<std::pair<TimePoint, PartClearance>> clearances;
    for (const auto &[part, record] : m_parts) {
        if (record.clearedLevel > 0)
            clearances.push_back({record.updatedAt, {part, record.clearedLevel}});
    }
    return {newestFirst(std::move(evidence), maxCount),
            newestFirst(std::move(clearances), maxCount)};
}

PartNotices PromptPartQuarantine::suspectNotices(std::size_t maxCount) const
{
    Cases cases;
    for (const auto &[digest, crash] : m_crashes) {
        if (!crash.isRetracted)
            addToCases(cases, digest, crash);
    }
    std::erase_if(cases,
                  [](const auto &entry) { return entry.second.levels.size() < kMinSuspectLevels; });
    const auto isSuspect = [&](const PartExposure &exposure) {
        return cases.contains(exposure.part);
    };
    PartNotices result = notices(m_options.maxCrashes * m_options.maxRequestsPerCrash);
    std::erase_if(result.evidence, [&](const PartEvidence &item) {
        return !item.isRetraction()
            && std::none_of(item.parts.begin(), item.parts.end(), isSuspect);
    });
    result.evidence.resize(std::min(result.evidence.size(), maxCount));
    result.clearances.resize(std::min(result.clearances.size(), maxCount));
    return result;
}

} // namespace arbutuspier
