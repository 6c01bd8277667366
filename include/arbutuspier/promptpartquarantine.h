// Finds the part of the requests' prompts that crashes upstreams, and quarantines requests with it.
//
// Requests that crash upstreams may have nothing in common but a part of their prompts. A crash
// ends all requests in flight on the upstream, most of them harmless, and their retries are in
// flight at the next one; so the number of crashes says little about a part. What distinguishes the
// part to blame:
// - It crashes each upstream anew. Requests count only if they were sent when the crashes before
//   were known: an attempt that was sent at level n shows a crash of level n + 1. All that is in
//   flight when many upstreams crash at once has one level.
// - It never succeeds. A success, or an attempt that keeps writing, clears all levels so far.
// - No single request with it was in flight at nearly all of the crashes, and no other one at all
// of them.
//
// A quarantined part gets a trial from time to time, as without one it could not succeed any more:
// one request with it is let through, by the VM that reported the last crash.
//
// Evidence and clearances are merged in any order and more than once. The result depends only on
// what was merged, so that VMs with the same knowledge agree.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace arbutuspier {

struct PromptPartQuarantineOptions
{
    /// Number of levels at which a part is quarantined that has never succeeded.
    std::size_t minLevels = 4;
    /// Number of levels since the last success for a part that has succeeded, and for one that many
    /// requests share: the loss of an upstream always hits some of these.
    std::size_t minLevelsOfSharedPart = 6;
    /// Number of requests with the part at its crashes, as a multiple of the crashes, from which it
    /// counts as one that many share.
    std::size_t minRequestsPerCrash = 2;
    /// Number of a part's crashes that must be left without those of any one request with it.
    std::size_t minOtherCrashes = 2;
    /// Crashes that follow a new level within this time are on the same level, as many upstreams
    /// that crash together don't do so at exactly the same time.
    Duration minLevelInterval = std::chrono::milliseconds{100};
    /// Time from the last level to the trial of a part. It doubles with each further level.
    Duration trialInterval = std::chrono::seconds{45};
    Duration maxTrialInterval = std::chrono::minutes{10};
    /// Most crashes that are remembered. The least recently updated is dropped first.
    std::size_t maxCrashes = 512;
    /// Most requests that are remembered for a crash.
    std::size_t maxRequestsPerCrash = 64;
    /// Most parts whose levels are remembered.
    std::size_t maxParts = 8192;
    /// Number of parts whose success is remembered at least.
    std::size_t successMemory = 4096;
    /// Crashes and levels are dropped this long after their last update.
    Duration recordLifetime = std::chrono::hours{1};
};

/// What identifies a request for the search for the cause of crashes.
struct RequestIdentity
{
    Fingerprint fingerprint;
    /// The parts of the prompt that may be shared with other requests, in order.
    std::vector<PromptPartId> parts;
    /// Set if the request is the trial of a quarantined part, which ends at its next level.
    PromptPartId triedPart = {};
    std::uint32_t triedLevel = 0;
};

/// Higher levels are not plausible and are rejected from peers.
inline constexpr std::uint32_t kMaxPartLevel = 1'000'000;

/// A part of a request that was in flight on an upstream.
struct PartExposure
{
    PromptPartId part;
    /// Number of crashes, each of which was known when the request of the next one was sent.
    std::uint32_t level = 0;
    /// A request with the part is known to have succeeded before.
    bool hasSucceeded = false;

    friend bool operator==(const PartExposure &, const PartExposure &) = default;
};

/// A request was in flight without output when an upstream crashed.
struct PartEvidence
{
    /// Digest of the upstream's incarnation.
    std::uint64_t crash = 0;
    Fingerprint request;
    /// In the order of the prompt. Empty if the upstream turned out to be running.
    std::vector<PartExposure> parts;

    bool isRetraction() const { return parts.empty(); }
    friend bool operator==(const PartEvidence &, const PartEvidence &) = default;
};

/// A part isn't to blame for crashes up to a level, as a request with it succeeded.
struct PartClearance
{
    PromptPartId part;
    std::uint32_t level = 0;

    friend bool operator==(const PartClearance &, const PartClearance &) = default;
};

/// What VMs tell each other.
struct PartNotices
{
    std::vector<PartEvidence> evidence;
    std::vector<PartClearance> clearances;

    bool empty() const { return evidence.empty() && clearances.empty(); }
    friend bool operator==(const PartNotices &, const PartNotices &) = default;
};

/// A part became quarantined, or is not any more.
struct PartQuarantineChange
{
    PromptPartId part;
    bool isQuarantined = false;
    /// The evidence; zero for a part that is released.
    std::size_t levels = 0;
    std::size_t crashes = 0;
    std::size_t requests = 0;
};

class PromptPartQuarantine
{
public:
    explicit PromptPartQuarantine(PromptPartQuarantineOptions options)
        : m_options(options)
    {
    }

    /// The exposures of a request that was sent at `sentAt` and lost now, for `onCrash`.
    std::vector<PartExposure> exposuresOf(std::span<const PromptPartId> parts, TimePoint sentAt,
                                          TimePoint now) const;
    /// An upstream crashed while the request was in flight on it. Returns what is new for the
    /// peers.
    PartNotices onCrash(std::uint64_t crash, Fingerprint request,
                        std::vector<PartExposure> exposures, TimePoint now);
    /// The upstream turned out to be running.
    PartNotices retract(std::uint64_t crash, TimePoint now);
    /// A request with these parts succeeded, or has been writing for so long that its parts can't
    /// be to blame.
    PartNotices onSuccess(std::span<const PromptPartId> parts, TimePoint now);
    /// Returns true if something was new.
    bool merge(const PartNotices &notices, TimePoint now);
    void tick(TimePoint now);

    /// The first part of the request that is quarantined; invalid if none is, or if the request is
    /// its trial.
    PromptPartId quarantinedPart(const RequestIdentity &request);
    /// Makes the request the trial of the part if one is due on this VM. True if it is one now.
    bool tryBegin(RequestIdentity &request, PromptPartId part, TimePoint now);
    /// Whether a quarantined part was in flight at this crash, so that requests without the part
    /// are not to blame for it.
    bool isExplained(std::uint64_t crash);
    /// Changes of the quarantine since the last call.
    std::vector<PartQuarantineChange> takeChanges();

    /// All that is known, at most `maxCount` items of each kind, the last updated first.
    PartNotices notices(std::size_t maxCount) const;
    /// As `notices`, but only of parts with at least two levels.
    PartNotices suspectNotices(std::size_t maxCount) const;

private:
    struct Crash
    {
        /// Each in the order of the prompt; by id if requests with this fingerprint had different
        /// prompts.
        std::map<Fingerprint, std::vector<PartExposure>> requests;
        bool isRetracted = false;
        TimePoint updatedAt{};
    };
    struct LevelChange
    {
        TimePoint knownAt{};
        std::uint32_t level = 0;
    };
    struct Part
    {
        /// Invariant: clearedLevel <= level.
        std::uint32_t level = 0;
        std::uint32_t clearedLevel = 0;
        /// When this VM learned of the last levels, in ascending order.
        std::vector<LevelChange> changes;
        /// This VM reported the last level.
        bool isOwnLevel = false;
        TimePoint triedAt{};
        TimePoint updatedAt{};
    };
    /// The evidence against one part.
    struct Case
    {
        std::set<std::uint32_t> levels;
        std::set<std::uint64_t> crashes;
        /// The number of these crashes at which each request was in flight.
        std::map<Fingerprint, std::size_t> requests;
        std::size_t position = 0;
        bool hasSucceeded = false;
    };
    using Cases = std::map<PromptPartId, Case>;

    Crash &touchCrash(std::uint64_t crash, TimePoint now);
    void raiseLevel(PromptPartId part, std::uint32_t level, TimePoint now);
    bool mergeEvidence(const PartEvidence &evidence, TimePoint now);
    bool mergeClearance(const PartClearance &clearance, TimePoint now);
    bool addExposures(Crash &crash, const PartEvidence &evidence) const;
    bool hasSucceeded(PromptPartId part) const;
    void rememberSuccess(PromptPartId part);
    std::uint32_t clearedLevel(PromptPartId part) const;
    /// The evidence of all crashes but those that `m_explained` has.
    Cases collectCases() const;
    void addToCases(Cases &cases, std::uint64_t digest, const Crash &crash) const;
    bool isToBlame(const Case &evidence) const;
    std::size_t minLevelsOf(const Case &evidence) const;
    static std::size_t crashesWithoutAnyOneRequest(const Case &evidence);
    /// Whether one request, with the part or without it, was in flight at all of the crashes.
    bool hasRequestAtAllCrashes(const Case &evidence) const;
    /// The part that explains the crashes best; invalid if none is to blame.
    PromptPartId chooseBlamed(const Cases &cases) const;
    /// Whether all requests with `part` at its crashes also have `other`.
    bool alwaysComesWith(const Cases::value_type &part, PromptPartId other) const;
    Duration trialIntervalOf(const Case &evidence) const;
    /// Computes the quarantined parts if something has changed.
    void update();
    void recordChanges(const Cases &quarantined);

    PromptPartQuarantineOptions m_options;
    std::unordered_map<std::uint64_t, Crash> m_crashes;
    std::unordered_map<PromptPartId, Part> m_parts;
    /// Parts that have succeeded on this VM. When the first set is full, it becomes the second.
    std::unordered_set<PromptPartId> m_succeeded;
    std::unordered_set<PromptPartId> m_succeededBefore;
    /// Computed by `update`.
    Cases m_quarantined;
    std::unordered_set<std::uint64_t> m_explained;
    bool m_isOutdated = false;
    std::vector<PartQuarantineChange> m_changes;
};

} // namespace arbutuspier
