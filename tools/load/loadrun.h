// Open-loop load generator: requests start at random times drawn from the profile's rate, however
// long earlier responses take.
#pragma once

#include "arbutuspier/random.h"
#include "arbutuspier/result.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <map>
#include <string>
#include <vector>

namespace arbutuspier::load {

/// Settings of a load profile. With a `peakRate` above zero, the rate changes from `rate` to
/// `peakRate` within two seconds from `peakStartSeconds` and stays there.
struct Profile
{
    /// Entry VMs; requests go to them in turn.
    std::vector<Address> targets;
    /// API key of the caller.
    std::string key;
    std::string model;
    /// Time during which requests are started.
    double seconds = 10;
    /// Requests per second.
    double rate = 10;
    double peakRate = 0;
    /// Seconds from the start.
    double peakStartSeconds = 0;
    /// Tokens of a short prompt.
    std::uint64_t shortMin = 1'000;
    std::uint64_t shortMax = 4'000;
    /// Fraction of the requests that have a long prompt.
    double longFraction = 0.02;
    std::uint64_t longMin = 100'000;
    std::uint64_t longMax = 1'000'000;
    std::uint64_t outputTokens = 40;
    std::uint64_t seed = 1;
};

/// Reads a profile from a TOML file. Errors start with the file name; syntax errors and unknown
/// keys add the line.
Result<Profile> loadProfile(const std::string &fileName);

class LoadRun
{
public:
    LoadRun(Profile profile, bool printsProgress);

    /// Sends the load and returns when every request has ended.
    void run();
    /// Counts and latencies (in seconds) by prompt length, then requests by HTTP status and
    /// verdict.
    std::string summaryTable() const;
    std::string summaryJson() const;
    /// Writes one line per request.
    void writeCsv(const std::string &fileName) const;

private:
    /// What the caller of one request observed; times are in seconds.
    struct RequestResult
    {
        /// From the start of the run; the other times count from the start of the request.
        double arrivalSeconds = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t tokens = 0;
        /// Zero if no response arrived.
        int httpStatus = 0;
        double timeToFirstTokenSeconds = 0;
        double totalSeconds = 0;
        std::string verdict;
    };
    /// Results of the prompts of one length bucket.
    struct Bucket
    {
        std::size_t sent = 0;
        /// Requests with a complete response; only these have latencies.
        std::size_t answered = 0;
        std::vector<double> timesToFirstTokenSeconds;
        std::vector<double> interEventGapsSeconds;
    };

    Task<void> sendRequests();
    Task<void> runRequest(std::size_t requestIndex, std::uint64_t promptTokens);
    Task<void> printProgress();
    /// Draws the length of a prompt from the ranges of the profile.
    std::uint64_t drawPromptTokens();
    std::map<std::string, Bucket> buckets() const;

    Profile m_profile;
    bool m_printsProgress;
    Random m_random;
    asio::io_context m_context{1};
    TimePoint m_startedAt;
    std::vector<RequestResult> m_results;
    std::size_t m_openRequestCount = 0;
    bool m_hasStartedAllRequests = false;
};

} // namespace arbutuspier::load
