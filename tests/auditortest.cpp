// Tests that TraceAuditor accepts traces without violations and reports each kind of violation.
// Each trace of the second kind contains exactly one.
#include "model/traceauditor.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::model;

TEST_GROUP(TheAuditor)
{
    Trace trace;
    double seconds = 0;

    void add(TraceEvent fact, double after = 0.1)
    {
        seconds += after;
        trace.push_back({TimePoint{} + fromSeconds(seconds), std::move(fact)});
    }
    void arrive(std::uint64_t request, double limit = 10)
    {
        add(RequestArrived{
            VmId{1}, RequestId{request}, Fingerprint{request}, fromSeconds(limit), {}});
    }
    void run(std::uint64_t request, const std::string &key = {}, std::uint64_t upstream = 1)
    {
        add(AttemptRan{UpstreamId{upstream}, Incarnation{1}, AttemptId{request}, RequestId{request},
                       key});
    }
    void answer(std::uint64_t request, Verdict verdict, std::uint64_t units = 0,
                Reason reason = Reason::None)
    {
        add(ResponseSent{RequestId{request}, verdict, reason, units});
    }
    void piece(std::uint64_t request, std::uint64_t generatedFor, std::uint64_t offset,
               std::uint64_t count)
    {
        add(ChunkDelivered{RequestId{request}, RequestId{generatedFor}, offset, count});
    }
    void expect(Guarantee guarantee)
    {
        add(SessionEnded{}, 60);
        const auto violations = TraceAuditor().audit(trace);
        LONGS_EQUAL(1, violations.size());
        CHECK(violations.front().guarantee == guarantee);
    }
};

TEST(TheAuditor, passesACleanSession)
{
    arrive(1);
    run(1);
    piece(1, 1, 0, 4);
    answer(1, Verdict::Ran, 4);
    add(MemoryAtEnd{UpstreamId{1}, 0});
    add(SessionEnded{}, 60);
    CHECK(TraceAuditor().audit(trace).empty());
}

TEST(TheAuditor, catchesARequestThatIsNeverAnswered)
{
    arrive(1);
    expect(Guarantee::InTime);
}

TEST(TheAuditor, catchesALateAnswer)
{
    arrive(1, 1);
    add(ResponseSent{RequestId{1}, Verdict::NotRun, Reason::DeadlinePassed, 0}, 2);
    expect(Guarantee::InTime);
}

TEST(TheAuditor, excusesAVmThatDied)
{
    arrive(1);
    add(VmLost{VmId{1}});
    add(SessionEnded{}, 60);
    CHECK(TraceAuditor().audit(trace).empty());
}

TEST(TheAuditor, catchesMemoryThatIsHeldForNobody)
{
    add(MemoryAtEnd{UpstreamId{1}, 5});
    expect(Guarantee::NoMemoryLost);
}

TEST(TheAuditor, catchesAnotherCallersAnswer)
{
    arrive(1);
    piece(1, 2, 0, 4);
    answer(1, Verdict::Ran, 4);
    expect(Guarantee::WholeOwnAnswer);
}

TEST(TheAuditor, catchesAGapInAnAnswer)
{
    arrive(1);
    piece(1, 1, 0, 2);
    piece(1, 1, 3, 1);
    answer(1, Verdict::Ran, 4);
    expect(Guarantee::WholeOwnAnswer);
}

TEST(TheAuditor, catchesANotRunThatRan)
{
    arrive(1);
    run(1);
    answer(1, Verdict::NotRun);
    expect(Guarantee::NotRunIsTrue);
}

TEST(TheAuditor, catchesAKeyThatRanTwice)
{
    arrive(1);
    run(1, "saw/k");
    answer(1, Verdict::Ran);
    arrive(2);
    run(2, "saw/k");
    answer(2, Verdict::Ran);
    expect(Guarantee::AtMostOnce);
}

TEST(TheAuditor, catchesAnOrderOfAnOldFence)
{
    add(OrderTaken{UpstreamId{1}, 5});
    add(OrderTaken{UpstreamId{1}, 4});
    expect(Guarantee::AtMostOnce);
}

TEST(TheAuditor, catchesWorkForALeavingUpstream)
{
    add(UpstreamLeft{UpstreamId{1}, Incarnation{1}});
    arrive(1);
    seconds += 4;
    run(1);
    answer(1, Verdict::Ran);
    expect(Guarantee::LeavingGetsNothing);
}

TEST(TheAuditor, catchesAnExitWithARequestInFlight)
{
    arrive(1, 100);
    add(DrainBegan{VmId{1}});
    add(VmExited{VmId{1}});
    expect(Guarantee::GracefulShutdown);
}

TEST(TheAuditor, catchesAVmThatLacksAnEdit)
{
    add(ReachChanged{VmId{1}, true});
    add(EditConfirmed{3});
    expect(Guarantee::EditsHold);
}

TEST(TheAuditor, catchesAVmThatGoesBack)
{
    add(VersionInForce{VmId{1}, Incarnation{1}, 3});
    add(VersionInForce{VmId{1}, Incarnation{1}, 2});
    expect(Guarantee::EditsHold);
}

TEST(TheAuditor, catchesABodyThatKillsAThirdUpstream)
{
    for (std::uint64_t i = 1; i <= 3; ++i)
        add(UpstreamDied{UpstreamId{i}, Fingerprint{9}});
    expect(Guarantee::FewUpstreamsLost);
}
