// Tests that TraceAuditor accepts traces without violations and reports each kind of violation.
// Each trace of the second kind contains exactly one.
#include "model/traceauditor.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::model;

TEST_GROUP(ATraceAuditor)
{
    Trace trace;
    double seconds = 0;

    void add(TraceEvent event, double after = 0.1)
    {
        seconds += after;
        trace.push_back({TimePoint{} + fromSeconds(seconds), std::move(event)});
    }
    void arrive(std::uint64_t request, double limitSeconds = 10)
    {
        add(RequestArrived{
            VmId{1}, RequestId{request}, Fingerprint{request}, fromSeconds(limitSeconds), {}});
    }
    void start(std::uint64_t request, const std::string &key = {}, std::uint64_t upstream = 1)
    {
        add(AttemptStarted{UpstreamId{upstream}, Incarnation{1}, AttemptId{request},
                           RequestId{request}, key});
    }
    void respond(std::uint64_t request, Verdict verdict, std::uint64_t outputTokens = 0,
                 Reason reason = Reason::None)
    {
        add(ResponseSent{RequestId{request}, verdict, reason, outputTokens});
    }
    void chunk(std::uint64_t request, std::uint64_t generatedFor, std::uint64_t offset,
               std::uint64_t count)
    {
        add(ChunkDelivered{RequestId{request}, RequestId{generatedFor}, offset, count});
    }
    void expectViolation(Guarantee guarantee)
    {
        add(SessionEnded{}, 60);
        const auto violations = TraceAuditor().audit(trace);
        LONGS_EQUAL(1, violations.size());
        CHECK(violations.front().guarantee == guarantee);
    }
};

TEST(ATraceAuditor, acceptsASessionWithoutViolations)
{
    arrive(1);
    start(1);
    chunk(1, 1, 0, 4);
    respond(1, Verdict::Ran, 4);
    add(MemoryAtEnd{UpstreamId{1}, 0});
    add(SessionEnded{}, 60);
    CHECK(TraceAuditor().audit(trace).empty());
}

TEST(ATraceAuditor, reportsARequestWithoutAResponse)
{
    arrive(1);
    expectViolation(Guarantee::InTime);
}

TEST(ATraceAuditor, reportsALateResponse)
{
    arrive(1, 1);
    add(ResponseSent{RequestId{1}, Verdict::NotRun, Reason::DeadlinePassed, 0}, 2);
    expectViolation(Guarantee::InTime);
}

TEST(ATraceAuditor, acceptsAMissingResponseOfACrashedVm)
{
    arrive(1);
    add(VmCrashed{VmId{1}});
    add(SessionEnded{}, 60);
    CHECK(TraceAuditor().audit(trace).empty());
}

TEST(ATraceAuditor, reportsMemoryInUseAtTheEnd)
{
    add(MemoryAtEnd{UpstreamId{1}, 5});
    expectViolation(Guarantee::NoMemoryLost);
}

TEST(ATraceAuditor, reportsAChunkOfAnotherRequestsResponse)
{
    arrive(1);
    chunk(1, 2, 0, 4);
    respond(1, Verdict::Ran, 4);
    expectViolation(Guarantee::CompleteOwnResponse);
}

TEST(ATraceAuditor, reportsAGapInAResponse)
{
    arrive(1);
    chunk(1, 1, 0, 2);
    chunk(1, 1, 3, 1);
    respond(1, Verdict::Ran, 4);
    expectViolation(Guarantee::CompleteOwnResponse);
}

TEST(ATraceAuditor, reportsAWrongNotRunVerdict)
{
    arrive(1);
    start(1);
    respond(1, Verdict::NotRun);
    expectViolation(Guarantee::NotRunIsTrue);
}

TEST(ATraceAuditor, reportsAnAtMostOnceCallThatRanTwice)
{
    arrive(1);
    start(1, "saw/k");
    respond(1, Verdict::Ran);
    arrive(2);
    start(2, "saw/k");
    respond(2, Verdict::Ran);
    expectViolation(Guarantee::AtMostOnce);
}

TEST(ATraceAuditor, reportsAnOrderWithAStaleFencingToken)
{
    add(OrderExecuted{UpstreamId{1}, 5});
    add(OrderExecuted{UpstreamId{1}, 4});
    expectViolation(Guarantee::AtMostOnce);
}

TEST(ATraceAuditor, reportsARequestSentToADrainingUpstream)
{
    add(UpstreamDrainBegan{UpstreamId{1}, Incarnation{1}});
    arrive(1);
    seconds += 4;
    start(1);
    respond(1, Verdict::Ran);
    expectViolation(Guarantee::DrainingUpstreamGetsNoRequests);
}

TEST(ATraceAuditor, reportsAVmThatExitsWithARequestInFlight)
{
    arrive(1, 100);
    add(DrainBegan{VmId{1}});
    add(VmExited{VmId{1}});
    expectViolation(Guarantee::GracefulShutdown);
}

TEST(ATraceAuditor, reportsAVmThatDoesNotActivateAnEdit)
{
    add(ReachabilityChanged{VmId{1}, true});
    add(EditConfirmed{3});
    expectViolation(Guarantee::ConfirmedEditsApply);
}

TEST(ATraceAuditor, reportsAVmThatRevertsToAnOlderVersion)
{
    add(VersionActivated{VmId{1}, Incarnation{1}, 3});
    add(VersionActivated{VmId{1}, Incarnation{1}, 2});
    expectViolation(Guarantee::ConfirmedEditsApply);
}

TEST(ATraceAuditor, reportsAFingerprintThatCrashesAThirdUpstream)
{
    for (std::uint64_t i = 1; i <= 3; ++i)
        add(UpstreamCrashed{UpstreamId{i}, Fingerprint{9}});
    expectViolation(Guarantee::FewUpstreamsLost);
}
