// What the readers of the store report of replicas that have missed a heartbeat, in a fleet where
// heartbeats reach the list late.
#include "gateway/overduereports.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kInterval = milliseconds{1200};

std::vector<ReplicaIncarnation> incarnations(int count)
{
    std::vector<ReplicaIncarnation> result;
    for (int i = 0; i < count; ++i)
        result.push_back({"i-" + std::to_string(i), 1});
    return result;
}

} // namespace

TEST_GROUP(OverdueReports)
{
    OverdueReports reports{kInterval};
    TimePoint now = TimePoint{seconds{100}};
};

TEST(OverdueReports, nameEachReplicaThatNoOtherVmHasNamed)
{
    LONGS_EQUAL(5, reports.unreported(incarnations(5), now).size());
    reports.onReported(incarnations(3), now);
    const auto rest = reports.unreported(incarnations(5), now + milliseconds{600});
    LONGS_EQUAL(2, rest.size());
    STRCMP_EQUAL("i-3", rest[0].id.c_str());
}

TEST(OverdueReports, areRepeatedBeforeTheyExpire)
{
    reports.onReported(incarnations(3), now);
    LONGS_EQUAL(3, reports.unreported(incarnations(3), now + kInterval).size());
}

TEST(OverdueReports, tellANewIncarnationFromTheOneBefore)
{
    reports.onReported({{"i-1", 1}}, now);
    LONGS_EQUAL(1, reports.unreported({{"i-1", 2}}, now).size());
}

TEST(OverdueReports, doNotGrowWithTheNumberOfReaders)
{
    constexpr int kReaders = 6;
    constexpr int kReplicas = 2'000;
    std::vector<OverdueReports> readers(kReaders, OverdueReports(kInterval));
    std::size_t reported = 0;
    // Each reader polls each 1.8 s, in turn; all hear each other.
    constexpr int kPolls = 60;
    for (int poll = 0; poll < kPolls; ++poll) {
        now += milliseconds{300};
        const auto report = readers[static_cast<std::size_t>(poll % kReaders)].unreported(
            incarnations(kReplicas), now);
        reported += report.size();
        for (int i = 0; i < kReaders; ++i) {
            if (i != poll % kReaders)
                readers[static_cast<std::size_t>(i)].onReported(report, now);
        }
    }
    // Once in 1.2 s, rather than with each of the four polls of that time.
    LONGS_EQUAL(kPolls / 4 * kReplicas, reported);
}
