// Simulates a small fleet with background requests and one subject, and injects the cell's faults
// when the callbacks of the simulation see the subject reach the cell's step.
#include "faults/scenario.h"

#include <xxhash.h>

#include <algorithm>

namespace arbutuspier::faults {

using namespace model;

namespace {

constexpr std::array<std::string_view, kStepCount> kStepNames = {
    "admit",      "queue", "choose",        "reserve", "record", "send", "first-token",
    "mid-stream", "done",  "record-result", "release", "drain",  "edit", "order"};
constexpr std::array<std::string_view, kFaultCount> kFaultNames = {
    "caller-gone",     "key-repeated", "upstream-dies",  "upstream-hangs", "upstream-refuses",
    "answer-late",     "answer-twice", "answer-reorder", "store-down",     "store-slow",
    "reply-lost",      "vm-dies",      "vm-paused",      "peers-cut",      "platform-cut",
    "upstream-leaves", "request-kills"};

constexpr std::array<const char *, 3> kZones = {"north", "south", "islands"};
constexpr VmId kSubjectVm{1};
constexpr VmId kOtherVm{2};
constexpr UpstreamId kDefaultEngine{1};
constexpr UpstreamId kDefaultService{101};
constexpr Duration kSubjectAt = std::chrono::seconds{5};
constexpr Duration kSessionEnd = std::chrono::seconds{110};
constexpr Duration kFaultDuration = std::chrono::seconds{6};
/// Longer than a lease including its safety margin, so that a frozen VM loses its lease.
constexpr Duration kFreezeDuration = std::chrono::seconds{15};
constexpr Duration kMidStreamDelay = std::chrono::milliseconds{400};

bool isCallStep(Step step)
{
    return step == Step::Record || step == Step::Send || step == Step::RecordResult;
}

bool isParallelGroupStep(Step step)
{
    return step == Step::Reserve || step == Step::Release;
}

bool isOperatorStep(Step step)
{
    return step == Step::Edit || step == Step::Order;
}

SimulationOptions fleetOptions(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    for (std::uint64_t i = 0; i < 4; ++i)
        options.vms.push_back({VmId{i + 1}, kZones[i % kZones.size()]});
    for (std::uint64_t i = 0; i < 9; ++i)
        options.upstreams.push_back({UpstreamId{i + 1}, "engine-" + std::to_string(i + 1),
                                     RequestKind::Prompt, "grain", kZones[i % kZones.size()],
                                     400'000, i % 2 == 0});
    for (std::uint64_t i = 0; i < 3; ++i)
        options.upstreams.push_back({UpstreamId{i + 101}, "orders-" + std::to_string(i + 1),
                                     RequestKind::ServiceCall, "orders", kZones[i], 0, false});
    return options;
}

RequestSpec prompt(std::uint64_t number, std::uint64_t tokens, std::uint64_t maxTokens)
{
    RequestSpec spec;
    spec.kind = RequestKind::Prompt;
    spec.team = "team-" + std::to_string(number % 5);
    spec.className = "ask";
    spec.target = "grain";
    spec.promptTokens = tokens;
    spec.maxTokens = maxTokens;
    spec.fingerprint = Fingerprint{1'000 + number};
    spec.timeLimit = std::chrono::seconds{30};
    return spec;
}

RequestSpec atMostOnceCall(const std::string &key)
{
    RequestSpec spec;
    spec.kind = RequestKind::ServiceCall;
    spec.team = "saw";
    spec.className = "order";
    spec.target = "orders";
    spec.isRetryable = false;
    spec.idempotencyKey = key;
    spec.keyIssuedAt = WallTime{} + std::chrono::seconds{1'000};
    spec.fingerprint = Fingerprint{XXH64(key.data(), key.size(), 3)};
    spec.timeLimit = std::chrono::seconds{8};
    return spec;
}

LimitsSnapshot limitsEdit(std::uint64_t base, const std::string &id)
{
    LimitsSnapshot edit;
    edit.version = base;
    edit.editId = id;
    edit.editor = "operator";
    edit.rows = {{"saw", "ask", 3, 0, 8, 0}, {"*", "ask", 1, 0, 0, 0}};
    return edit;
}

/// Runs one cell.
class Session
{
public:
    explicit Session(const Cell &cell)
        : m_cell(cell)
        , m_simulation(fleetOptions(cell.seed()))
    {
    }

    CellResult run()
    {
        m_simulation.onCommand = [this](VmId vm, const Command &command) {
            injectAtCommand(vm, command);
        };
        m_simulation.onEvent = [this](VmId vm, const Event &event) { injectAtEvent(vm, event); };
        addBackground();
        m_simulation.at(kSubjectAt, [this] { startSubject(); });
        m_simulation.runUntil(kSessionEnd);
        m_simulation.finish();
        return evaluate();
    }

private:
    void addBackground()
    {
        for (std::uint64_t i = 0; i < 160; ++i) {
            const Duration when = std::chrono::milliseconds{500 + i * 100};
            m_simulation.at(when, [this, i] {
                const std::vector<VmId> runningVms = m_simulation.runningVms();
                if (!runningVms.empty())
                    m_simulation.submit(runningVms[i % runningVms.size()],
                                        prompt(i, 1'000 + i * 13, 30));
            });
        }
        for (std::uint64_t i = 0; i < 20; ++i) {
            m_simulation.at(std::chrono::milliseconds{700 + i * 800}, [this, i] {
                const std::vector<VmId> runningVms = m_simulation.runningVms();
                if (!runningVms.empty())
                    m_simulation.submit(runningVms[i % runningVms.size()],
                                        atMostOnceCall("back-" + std::to_string(i)));
            });
        }
        m_simulation.at(std::chrono::seconds{1}, [this] {
            m_simulation.sendOperatorEvent(kOtherVm, LimitsEdit{limitsEdit(0, "first")});
        });
    }

    void startSubject()
    {
        switch (m_cell.step) {
        case Step::Edit:
            m_isSubjectStarted = true;
            m_simulation.sendOperatorEvent(kSubjectVm, LimitsEdit{limitsEdit(1, "subject")});
            return;
        case Step::Order:
            m_isSubjectStarted = true;
            m_simulation.sendOperatorEvent(kSubjectVm,
                                           DesiredStateEdit{kDefaultEngine, "model=grain-2"});
            return;
        case Step::Admit:
            inject();
            break;
        default:
            break;
        }
        m_isSubjectStarted = true;
        m_subjectSpec = subjectSpec();
        // The callbacks compare request ids while submit() still runs, so the id is set before.
        m_subjectRequest = RequestId{m_simulation.nextRequestId()};
        if (!m_simulation.node(kSubjectVm))
            return;
        m_simulation.submit(kSubjectVm, m_subjectSpec);
        if (m_cell.step == Step::Queue)
            inject();
    }

    RequestSpec subjectSpec() const
    {
        if (isCallStep(m_cell.step))
            return atMostOnceCall("subject");
        RequestSpec spec = prompt(500, 2'000, 120);
        if (isParallelGroupStep(m_cell.step)) {
            spec = prompt(500, 700'000, 40);
            spec.timeLimit = std::chrono::seconds{80};
        }
        spec.team = "saw";
        return spec;
    }

    bool isSubject(const OpenStream &open) const { return open.request == m_subjectRequest; }

    void injectAtCommand(VmId vm, const Command &command)
    {
        if (!m_isSubjectStarted || m_isInjected)
            return;
        if (const auto *open = std::get_if<OpenStream>(&command); open && isSubject(*open)) {
            m_subjectAttempt = open->attempt;
            m_subjectUpstream = open->upstream;
            onOpened();
            return;
        }
        if (std::holds_alternative<SendOrder>(command) && m_cell.step == Step::Order) {
            m_faultVm = vm;
            inject();
        }
        if (vm != kSubjectVm)
            return;
        if (const auto *reserve = std::get_if<arbutuspier::Reserve>(&command);
            reserve && m_cell.step == Step::Reserve) {
            m_subjectUpstream = reserve->upstream;
            inject();
        }
        if (std::holds_alternative<arbutuspier::Release>(command) && m_cell.step == Step::Release) {
            m_subjectUpstream = std::get<arbutuspier::Release>(command).upstream;
            inject();
        }
        if (const auto *call = std::get_if<TableCall>(&command))
            injectAtTableCall(*call);
    }

    void injectAtTableCall(const TableCall &call)
    {
        const auto *transaction = std::get_if<TableTransaction>(&call.request);
        if (!transaction || transaction->writes.empty())
            return;
        const std::string &key = transaction->writes.front().key;
        const bool isSubjectRow = key.find("/subject") != std::string::npos;
        const bool isCreation = transaction->writes.front().expected == 0;
        if (isSubjectRow && m_cell.step == Step::Record && isCreation)
            inject();
        if (isSubjectRow && m_cell.step == Step::RecordResult && !isCreation)
            inject();
        if (m_cell.step == Step::Edit && key == "limits/head")
            inject();
    }

    void onOpened()
    {
        switch (m_cell.step) {
        case Step::Choose:
        case Step::Send:
            inject();
            return;
        case Step::MidStream:
            m_simulation.at(elapsed() + kMidStreamDelay, [this] { inject(); });
            return;
        case Step::Drain:
            m_simulation.at(elapsed() + kMidStreamDelay, [this] {
                m_simulation.drainVm(kSubjectVm);
                inject();
            });
            return;
        default:
            return;
        }
    }

    void injectAtEvent(VmId vm, const Event &event)
    {
        if (!m_isSubjectStarted || m_isInjected || vm != kSubjectVm)
            return;
        const auto *first = std::get_if<StreamFirstToken>(&event);
        if (m_cell.step == Step::FirstToken && first && first->attempt == m_subjectAttempt)
            inject();
        const auto *done = std::get_if<StreamDone>(&event);
        if (m_cell.step == Step::Done && done && done->attempt == m_subjectAttempt)
            inject();
    }

    Duration elapsed() const { return m_simulation.now() - m_simulation.startedAt(); }

    void scheduleAfter(Duration after, std::function<void()> action)
    {
        m_simulation.at(elapsed() + after, std::move(action));
    }

    void inject()
    {
        if (m_isInjected)
            return;
        m_isInjected = true;
        injectFault(m_cell.first);
        if (m_cell.second)
            injectFault(*m_cell.second);
    }

    UpstreamId targetUpstream() const
    {
        if (m_subjectUpstream.isValid())
            return m_subjectUpstream;
        return isCallStep(m_cell.step) ? kDefaultService : kDefaultEngine;
    }

    UpstreamFaults &upstreamFaults() { return m_simulation.upstreamFaults[targetUpstream()]; }

    void scheduleUpstreamRecovery()
    {
        scheduleAfter(kFaultDuration, [this, upstream = targetUpstream()] {
            m_simulation.upstreamFaults[upstream] = UpstreamFaults{};
        });
    }

    void scheduleStoreRecovery()
    {
        scheduleAfter(kFaultDuration, [this] { m_simulation.tableFaults = TableFaults{}; });
    }

    void resendSubject()
    {
        // The caller sends the request again through another VM, at once and 2 s later.
        const RequestSpec spec = m_subjectSpec;
        const auto resend = [this, spec] {
            if (m_simulation.node(kOtherVm))
                m_simulation.submit(kOtherVm, spec);
        };
        scheduleAfter(Duration::zero(), resend);
        scheduleAfter(std::chrono::seconds{2}, resend);
    }

    std::string zone() const { return kZones[(m_faultVm.value - 1) % kZones.size()]; }

    void setPeerPartition(bool isActive)
    {
        for (const char *other : kZones) {
            if (other != zone())
                m_simulation.setZonePartition(zone(), other, isActive);
        }
    }

    void injectFault(Fault fault)
    {
        switch (fault) {
        case Fault::CallerDisconnected:
            scheduleAfter(Duration::zero(),
                          [this] { m_simulation.disconnectCaller(m_subjectRequest); });
            return;
        case Fault::KeyRepeated:
            resendSubject();
            return;
        case Fault::UpstreamCrashes:
            m_simulation.crashUpstream(targetUpstream());
            return;
        case Fault::UpstreamHangs:
            upstreamFaults().isHanging = true;
            scheduleUpstreamRecovery();
            return;
        case Fault::UpstreamRefuses:
            upstreamFaults().isRefusing = true;
            scheduleUpstreamRecovery();
            return;
        case Fault::ResponseLate:
            upstreamFaults().responseDelay = std::chrono::seconds{3};
            scheduleUpstreamRecovery();
            return;
        case Fault::ResponseTwice:
            upstreamFaults().duplicatesResponse = true;
            scheduleUpstreamRecovery();
            return;
        case Fault::ResponseOutOfOrder:
            upstreamFaults().delaysFirstToken = true;
            scheduleUpstreamRecovery();
            return;
        case Fault::StoreDown:
            m_simulation.tableFaults.isDown = true;
            scheduleStoreRecovery();
            return;
        case Fault::StoreSlow:
            m_simulation.tableFaults.extraDelay = std::chrono::milliseconds{1'500};
            scheduleStoreRecovery();
            return;
        case Fault::StoreReplyLost:
            m_simulation.tableFaults.lostReplies = 2;
            return;
        case Fault::VmCrashes:
            m_simulation.crashVm(m_faultVm);
            scheduleAfter(std::chrono::seconds{3}, [this] {
                if (!m_simulation.node(m_faultVm))
                    m_simulation.startVm(m_faultVm);
            });
            return;
        case Fault::VmPaused:
            m_simulation.freezeVm(m_faultVm, kFreezeDuration);
            return;
        case Fault::PeersPartitioned:
            setPeerPartition(true);
            scheduleAfter(kFaultDuration, [this] { setPeerPartition(false); });
            return;
        case Fault::PlatformPartitioned:
            m_simulation.setPlatformPartition(zone(), true);
            scheduleAfter(kFaultDuration,
                          [this] { m_simulation.setPlatformPartition(zone(), false); });
            return;
        case Fault::UpstreamDrains:
            m_simulation.drainUpstream(targetUpstream());
            return;
        case Fault::RequestCrashesUpstreams:
            m_simulation.addCrashingFingerprint(m_subjectSpec.fingerprint);
            resendSubject();
            return;
        }
    }

    bool hasFault(Fault fault) const { return m_cell.first == fault || m_cell.second == fault; }

    /// Whether the subject must be completed despite the faults: it is a prompt for one engine, its
    /// caller stays, its VM keeps running, and it doesn't crash the upstreams that run it.
    bool mustComplete() const
    {
        const bool isPrompt = !isCallStep(m_cell.step) && !isOperatorStep(m_cell.step)
            && !isParallelGroupStep(m_cell.step);
        const bool mayEndRequest = hasFault(Fault::CallerDisconnected) || hasFault(Fault::VmCrashes)
            || hasFault(Fault::VmPaused) || hasFault(Fault::RequestCrashesUpstreams);
        return isPrompt && !mayEndRequest;
    }

    CellResult evaluate()
    {
        CellResult result;
        result.isInjected = m_isInjected;
        if (!m_isInjected)
            result.failures.push_back(
                "the subject did not reach the step, so no fault was injected");
        for (const Violation &violation : TraceAuditor().audit(m_simulation.trace()))
            result.failures.push_back(std::string(guaranteeName(violation.guarantee)) + ": "
                                      + violation.description);
        result.outcome = outcome();
        if (mustComplete() && result.outcome != "ran/none")
            result.failures.push_back(
                "the prompt was not completed despite the fault; its outcome is " + result.outcome);
        checkOperatorStep(result);
        result.trace = m_simulation.trace();
        return result;
    }

    void checkOperatorStep(CellResult &result)
    {
        if (m_cell.step == Step::Edit) {
            const auto &results = m_simulation.editResults();
            const bool hasResult =
                std::any_of(results.begin(), results.end(),
                            [](const EditResult &a) { return a.editId == "subject"; });
            if (!hasResult && !hasFault(Fault::VmCrashes))
                result.failures.push_back("the edit got no result");
        }
        if (m_cell.step == Step::Order) {
            const EngineModel *engine = m_simulation.engine(kDefaultEngine);
            if (engine->state() != "model=grain-2")
                result.failures.push_back("the order did not take effect");
        }
    }

    std::string outcome() const
    {
        if (isOperatorStep(m_cell.step)) {
            if (m_cell.step == Step::Order)
                return "state "
                    + const_cast<Simulation &>(m_simulation).engine(kDefaultEngine)->state();
            for (const EditResult &result : m_simulation.editResults()) {
                if (result.editId == "subject")
                    return "edit " + std::to_string(static_cast<int>(result.outcome));
            }
            return "edit unanswered";
        }
        const auto response = m_simulation.response(m_subjectRequest);
        if (!response)
            return "unanswered";
        return std::string(verdictName(response->verdict)) + '/'
            + std::string(reasonName(response->reason));
    }

    Cell m_cell;
    Simulation m_simulation;
    RequestSpec m_subjectSpec;
    RequestId m_subjectRequest;
    AttemptId m_subjectAttempt;
    UpstreamId m_subjectUpstream;
    VmId m_faultVm = kSubjectVm;
    bool m_isSubjectStarted = false;
    bool m_isInjected = false;
};

} // namespace

std::string_view stepName(Step step)
{
    return kStepNames[static_cast<std::size_t>(step)];
}

std::string_view faultName(Fault fault)
{
    return kFaultNames[static_cast<std::size_t>(fault)];
}

std::string_view impossibleReason(Step step, Fault fault)
{
    const bool isCallerFault = fault == Fault::CallerDisconnected || fault == Fault::KeyRepeated
        || fault == Fault::RequestCrashesUpstreams;
    if (isOperatorStep(step) && isCallerFault)
        return "no caller's request takes part in this step";
    const bool isResponseFault = fault == Fault::ResponseLate || fault == Fault::ResponseTwice
        || fault == Fault::ResponseOutOfOrder || fault == Fault::UpstreamRefuses;
    if (step == Step::Edit
        && (isResponseFault || fault == Fault::UpstreamCrashes || fault == Fault::UpstreamHangs
            || fault == Fault::UpstreamDrains))
        return "no upstream takes part in an edit";
    if (step == Step::Order && isResponseFault)
        return "the model engine answers orders by its state; these faults are of streams";
    if (step == Step::RecordResult && isResponseFault)
        return "the answer is whole before its record is written";
    return {};
}

std::string Cell::name() const
{
    std::string text = std::string(stepName(step)) + " x " + std::string(faultName(first));
    if (second)
        text += " + " + std::string(faultName(*second));
    return text;
}

std::uint64_t Cell::seed() const
{
    const std::string text = name();
    return XXH32(text.data(), text.size(), 7 + salt);
}

CellResult runCell(const Cell &cell)
{
    return Session(cell).run();
}

} // namespace arbutuspier::faults
