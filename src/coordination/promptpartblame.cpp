// The part of PromptPartQuarantine that decides from the evidence which parts are to blame. Parts
// are blamed one after the other; the crashes of one are no evidence against the next.
#include "arbutuspier/promptpartquarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace arbutuspier {

namespace {

/// A part is preferred to one that it always comes with if it has fewer requests and more levels
/// than those of the other divided by this.
constexpr std::size_t kLevelDivisor = 2;

} // namespace

void PromptPartQuarantine::addToCases(Cases &cases, std::uint64_t digest, const Crash &crash) const
{
    for (const auto &[request, exposures] : crash.requests) {
        for (std::size_t position = 0; position < exposures.size(); ++position) {
            const PartExposure &exposure = exposures[position];
            if (exposure.level <= clearedLevel(exposure.part))
                continue;
            Case &evidence = cases[exposure.part];
            evidence.levels.insert(exposure.level);
            evidence.crashes.insert(digest);
            ++evidence.requests[request];
            evidence.position = std::max(evidence.position, position);
            evidence.hasSucceeded =
                evidence.hasSucceeded || exposure.hasSucceeded || hasSucceeded(exposure.part);
        }
    }
}

PromptPartQuarantine::Cases PromptPartQuarantine::collectCases() const
{
    Cases cases;
    for (const auto &[digest, crash] : m_crashes) {
        if (!crash.isRetracted && !m_explained.contains(digest))
            addToCases(cases, digest, crash);
    }
    return cases;
}

std::size_t PromptPartQuarantine::crashesWithoutAnyOneRequest(const Case &evidence)
{
    std::size_t most = 0;
    for (const auto &[request, crashes] : evidence.requests)
        most = std::max(most, crashes);
    return evidence.crashes.size() - most;
}

bool PromptPartQuarantine::hasRequestAtAllCrashes(const Case &evidence) const
{
    const Crash &first = m_crashes.at(*evidence.crashes.begin());
    return std::any_of(first.requests.begin(), first.requests.end(), [&](const auto &entry) {
        return std::all_of(evidence.crashes.begin(), evidence.crashes.end(),
                           [&](std::uint64_t digest) {
                               return m_crashes.at(digest).requests.contains(entry.first);
                           });
    });
}

std::size_t PromptPartQuarantine::minLevelsOf(const Case &evidence) const
{
    const bool isShared =
        evidence.requests.size() >= m_options.minRequestsPerCrash * evidence.crashes.size();
    return evidence.hasSucceeded || isShared ? m_options.minLevelsOfSharedPart
                                             : m_options.minLevels;
}

bool PromptPartQuarantine::isToBlame(const Case &evidence) const
{
    return evidence.levels.size() >= minLevelsOf(evidence)
        && crashesWithoutAnyOneRequest(evidence) >= m_options.minOtherCrashes
        && !hasRequestAtAllCrashes(evidence);
}

bool PromptPartQuarantine::alwaysComesWith(const Cases::value_type &part, PromptPartId other) const
{
    const auto holds = [](const std::vector<PartExposure> &exposures, PromptPartId id) {
        return std::any_of(exposures.begin(), exposures.end(),
                           [&](const PartExposure &exposure) { return exposure.part == id; });
    };
    for (std::uint64_t digest : part.second.crashes) {
        for (const auto &[request, exposures] : m_crashes.at(digest).requests) {
            if (holds(exposures, part.first) && !holds(exposures, other))
                return false;
        }
    }
    return true;
}

PromptPartId PromptPartQuarantine::chooseBlamed(const Cases &cases) const
{
    std::vector<const Cases::value_type *> blamed;
    for (const Cases::value_type &entry : cases) {
        if (isToBlame(entry.second))
            blamed.push_back(&entry);
    }
    if (blamed.empty())
        return {};
    const auto isBetter = [](const Cases::value_type *a, const Cases::value_type *b) {
        const Case &first = a->second;
        const Case &second = b->second;
        return std::make_tuple(second.levels.size(), first.requests.size(), second.position,
                               a->first)
            < std::make_tuple(first.levels.size(), second.requests.size(), first.position,
                              b->first);
    };
    std::sort(blamed.begin(), blamed.end(), isBetter);
    const Cases::value_type &best = *blamed.front();
    // A part that all requests of a route share was also in flight at crashes of other causes.
    const auto isMoreSpecific = [&](const Cases::value_type *other) {
        return other->second.levels.size() * kLevelDivisor > best.second.levels.size()
            && other->second.requests.size() < best.second.requests.size()
            && alwaysComesWith(*other, best.first);
    };
    const auto specific = std::find_if(blamed.begin(), blamed.end(), isMoreSpecific);
    return specific == blamed.end() ? best.first : (*specific)->first;
}

void PromptPartQuarantine::recordChanges(const Cases &quarantined)
{
    for (const auto &[part, evidence] : quarantined) {
        if (!m_quarantined.contains(part))
            m_changes.push_back({part, true, evidence.levels.size(), evidence.crashes.size(),
                                 evidence.requests.size()});
    }
    for (const auto &[part, evidence] : m_quarantined) {
        if (!quarantined.contains(part))
            m_changes.push_back({part});
    }
}

void PromptPartQuarantine::update()
{
    if (!m_isOutdated)
        return;
    m_isOutdated = false;
    m_explained.clear();
    Cases quarantined;
    while (true) {
        Cases cases = collectCases();
        const PromptPartId part = chooseBlamed(cases);
        if (!part.isValid())
            break;
        Case &evidence = cases[part];
        m_explained.insert(evidence.crashes.begin(), evidence.crashes.end());
        quarantined.emplace(part, std::move(evidence));
    }
    recordChanges(quarantined);
    m_quarantined = std::move(quarantined);
}

} // namespace arbutuspier
