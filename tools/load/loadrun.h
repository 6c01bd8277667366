// One run of load: arrivals by the clock, whatever the answers do.
#pragma once

#include "arbutuspier/random.h"
#include "arbutuspier/result.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <map>
#include <string>
#include <vector>

namespace arbutuspier::load {

/// What a profile says. A rate that swings goes from `rate` to `crestRate` at `crestAt`.
struct Profile
{
    std::vector<Address> targets;
    std::string key;
    std::string model;
    double seconds = 10;
    double rate = 10;
    double crestRate = 0;
    double crestAt = 0;
    std::uint64_t shortMin = 1'000;
    std::uint64_t shortMax = 4'000;
    double longPart = 0.02;
    std::uint64_t longMin = 100'000;
    std::uint64_t longMax = 1'000'000;
    std::uint64_t outputTokens = 40;
    std::uint64_t seed = 1;
};

/// Reads a profile. The error names file, line and key.
Result<Profile> loadProfile(const std::string &fileName);

class LoadRun
{
public:
    LoadRun(Profile profile, bool printsProgress);

    void run();
    std::string summaryTable() const;
    std::string summaryJson() const;
    void writeCsv(const std::string &fileName) const;

private:
    struct Seen
    {
        double at = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t tokens = 0;
        int status = 0;
        double firstToken = 0;
        double total = 0;
        std::string verdict;
    };
    struct Bucket
    {
        std::size_t sent = 0;
        std::size_t answered = 0;
        std::vector<double> firstTokens;
        std::vector<double> between;
    };

    Task<void> arrivals();
    Task<void> request(std::size_t number, std::uint64_t promptTokens);
    Task<void> progress();
    std::uint64_t drawLength();
    std::map<std::string, Bucket> buckets() const;

    Profile m_profile;
    bool m_printsProgress;
    Random m_random;
    asio::io_context m_context{1};
    TimePoint m_start;
    std::vector<Seen> m_seen;
    std::size_t m_open = 0;
    bool m_isOver = false;
};

} // namespace arbutuspier::load
