// A small fleet with background work, one subject, and hooks that inject at the subject's step.
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
constexpr UpstreamId kAnEngine{1};
constexpr UpstreamId kAService{101};
constexpr Duration kSubjectAt = std::chrono::seconds{5};
constexpr Duration kSessionEnd = std::chrono::seconds{110};
constexpr Duration kFaultTime = std::chrono::seconds{6};
/// Past the duration of a lease and its margin.
constexpr Duration kPause = std::chrono::seconds{15};
constexpr Duration kMidStream = std::chrono::milliseconds{400};

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

SimulationOptions fleet(std::uint64_t seed)
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

RequestSpec bookCall(const std::string &key)
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

LimitsSnapshot edit(std::uint64_t base, const std::string &id)
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
        , m_world(fleet(cell.seed()))
    {
    }

    CellResult run()
    {
        m_world.onCommand = [this](VmId vm, const Command &command) { watch(vm, command); };
        m_world.onEvent = [this](VmId vm, const Event &event) { watch(vm, event); };
        addBackground();
        m_world.at(kSubjectAt, [this] { startSubject(); });
        m_world.runUntil(kSessionEnd);
        m_world.finish();
        return judge();
    }

private:
    void addBackground()
    {
        for (std::uint64_t i = 0; i < 160; ++i) {
            const Duration when = std::chrono::milliseconds{500 + i * 100};
            m_world.at(when, [this, i] {
                const std::vector<VmId> live = m_world.liveVms();
                if (!live.empty())
                    m_world.submit(live[i % live.size()], prompt(i, 1'000 + i * 13, 30));
            });
        }
        for (std::uint64_t i = 0; i < 20; ++i) {
            m_world.at(std::chrono::milliseconds{700 + i * 800}, [this, i] {
                const std::vector<VmId> live = m_world.liveVms();
                if (!live.empty())
                    m_world.submit(live[i % live.size()], bookCall("back-" + std::to_string(i)));
            });
        }
        m_world.at(std::chrono::seconds{1},
                   [this] { m_world.tell(kOtherVm, LimitsEdit{edit(0, "first")}); });
    }

    void startSubject()
    {
        switch (m_cell.step) {
        case Step::Edit:
            m_isArmed = true;
            m_world.tell(kSubjectVm, LimitsEdit{edit(1, "subject")});
            return;
        case Step::Order:
            m_isArmed = true;
            m_world.tell(kSubjectVm, DesiredStateEdit{kAnEngine, "model=grain-2"});
            return;
        case Step::Admit:
            inject();
            break;
        default:
            break;
        }
        m_isArmed = true;
        m_spec = subjectSpec();
        // The request id is taken before the node sees the request: hooks compare with it.
        m_request = RequestId{m_world.nextRequestId()};
        if (!m_world.node(kSubjectVm))
            return;
        m_world.submit(kSubjectVm, m_spec);
        if (m_cell.step == Step::Queue)
            inject();
    }

    RequestSpec subjectSpec() const
    {
        if (isCallStep(m_cell.step))
            return bookCall("subject");
        RequestSpec spec = prompt(500, 2'000, 120);
        if (isParallelGroupStep(m_cell.step)) {
            spec = prompt(500, 700'000, 40);
            spec.timeLimit = std::chrono::seconds{80};
        }
        spec.team = "saw";
        return spec;
    }

    bool isSubject(const OpenStream &open) const { return open.request == m_request; }

    void watch(VmId vm, const Command &command)
    {
        if (!m_isArmed || m_isInjected)
            return;
        if (const auto *open = std::get_if<OpenStream>(&command); open && isSubject(*open)) {
            m_attempt = open->attempt;
            m_upstream = open->upstream;
            onOpened();
            return;
        }
        if (std::holds_alternative<SendOrder>(command) && m_cell.step == Step::Order) {
            m_vm = vm;
            inject();
        }
        if (vm != kSubjectVm)
            return;
        if (const auto *reserve = std::get_if<arbutuspier::Reserve>(&command);
            reserve && m_cell.step == Step::Reserve) {
            m_upstream = reserve->upstream;
            inject();
        }
        if (std::holds_alternative<arbutuspier::Release>(command) && m_cell.step == Step::Release) {
            m_upstream = std::get<arbutuspier::Release>(command).upstream;
            inject();
        }
        if (const auto *call = std::get_if<TableCall>(&command))
            watchTable(*call);
    }

    void watchTable(const TableCall &call)
    {
        const auto *transaction = std::get_if<TableTransaction>(&call.request);
        if (!transaction || transaction->writes.empty())
            return;
        const std::string &key = transaction->writes.front().key;
        const bool isSubjectRow = key.find("/subject") != std::string::npos;
        const bool isFirst = transaction->writes.front().expected == 0;
        if (isSubjectRow && m_cell.step == Step::Record && isFirst)
            inject();
        if (isSubjectRow && m_cell.step == Step::RecordResult && !isFirst)
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
            m_world.at(sinceStart() + kMidStream, [this] { inject(); });
            return;
        case Step::Drain:
            m_world.at(sinceStart() + kMidStream, [this] {
                m_world.drainVm(kSubjectVm);
                inject();
            });
            return;
        default:
            return;
        }
    }

    void watch(VmId vm, const Event &event)
    {
        if (!m_isArmed || m_isInjected || vm != kSubjectVm)
            return;
        const auto *first = std::get_if<StreamFirstToken>(&event);
        if (m_cell.step == Step::FirstToken && first && first->attempt == m_attempt)
            inject();
        const auto *done = std::get_if<StreamDone>(&event);
        if (m_cell.step == Step::Done && done && done->attempt == m_attempt)
            inject();
    }

    Duration sinceStart() const { return m_world.now() - m_world.startedAt(); }

    void later(Duration after, std::function<void()> action)
    {
        m_world.at(sinceStart() + after, std::move(action));
    }

    void inject()
    {
        if (m_isInjected)
            return;
        m_isInjected = true;
        apply(m_cell.first);
        if (m_cell.second)
            apply(*m_cell.second);
    }

    UpstreamId target() const
    {
        if (m_upstream.isValid())
            return m_upstream;
        return isCallStep(m_cell.step) ? kAService : kAnEngine;
    }

    UpstreamFaults &upstreamFaults() { return m_world.upstreamFaults[target()]; }

    void healUpstream()
    {
        later(kFaultTime,
              [this, upstream = target()] { m_world.upstreamFaults[upstream] = UpstreamFaults{}; });
    }

    void healStore()
    {
        later(kFaultTime, [this] { m_world.tableFaults = TableFaults{}; });
    }

    void repeatKey()
    {
        // The caller asks again, through another VM, now and once more a little later.
        const RequestSpec spec = m_spec;
        const auto again = [this, spec] {
            if (m_world.node(kOtherVm))
                m_world.submit(kOtherVm, spec);
        };
        later(Duration::zero(), again);
        later(std::chrono::seconds{2}, again);
    }

    std::string zone() const { return kZones[(m_vm.value - 1) % kZones.size()]; }

    void cutPeers(bool isCut)
    {
        for (const char *other : kZones) {
            if (other != zone())
                m_world.cutZones(zone(), other, isCut);
        }
    }

    void apply(Fault fault)
    {
        switch (fault) {
        case Fault::CallerDisconnected:
            later(Duration::zero(), [this] { m_world.callerLeaves(m_request); });
            return;
        case Fault::KeyRepeated:
            repeatKey();
            return;
        case Fault::UpstreamDies:
            m_world.killUpstream(target());
            return;
        case Fault::UpstreamHangs:
            upstreamFaults().isHanging = true;
            healUpstream();
            return;
        case Fault::UpstreamRefuses:
            upstreamFaults().isRefusing = true;
            healUpstream();
            return;
        case Fault::AnswerLate:
            upstreamFaults().answerDelay = std::chrono::seconds{3};
            healUpstream();
            return;
        case Fault::AnswerTwice:
            upstreamFaults().answersTwice = true;
            healUpstream();
            return;
        case Fault::AnswerOutOfOrder:
            upstreamFaults().isOutOfOrder = true;
            healUpstream();
            return;
        case Fault::StoreDown:
            m_world.tableFaults.isDown = true;
            healStore();
            return;
        case Fault::StoreSlow:
            m_world.tableFaults.extraDelay = std::chrono::milliseconds{1'500};
            healStore();
            return;
        case Fault::StoreReplyLost:
            m_world.tableFaults.lostReplies = 2;
            return;
        case Fault::VmDies:
            m_world.killVm(m_vm);
            later(std::chrono::seconds{3}, [this] {
                if (!m_world.node(m_vm))
                    m_world.startVm(m_vm);
            });
            return;
        case Fault::VmPaused:
            m_world.freezeVm(m_vm, kPause);
            return;
        case Fault::PeersCutOff:
            cutPeers(true);
            later(kFaultTime, [this] { cutPeers(false); });
            return;
        case Fault::PlatformCutOff:
            m_world.cutPlatform(zone(), true);
            later(kFaultTime, [this] { m_world.cutPlatform(zone(), false); });
            return;
        case Fault::UpstreamLeaves:
            m_world.leaveUpstream(target());
            return;
        case Fault::RequestKills:
            m_world.setPoison(m_spec.fingerprint);
            repeatKey();
            return;
        }
    }

    bool has(Fault fault) const { return m_cell.first == fault || m_cell.second == fault; }

    /// Faults that a prompt has to outlive: its caller is there and another upstream is free.
    bool mustRun() const
    {
        const bool isPrompt = !isCallStep(m_cell.step) && !isOperatorStep(m_cell.step)
            && !isParallelGroupStep(m_cell.step);
        const bool isFatal = has(Fault::CallerDisconnected) || has(Fault::VmDies)
            || has(Fault::VmPaused) || has(Fault::RequestKills);
        return isPrompt && !isFatal;
    }

    CellResult judge()
    {
        CellResult result;
        result.isInjected = m_isInjected;
        if (!m_isInjected)
            result.failures.push_back("the step was not reached");
        for (const Violation &violation : TraceAuditor().audit(m_world.trace()))
            result.failures.push_back(std::string(guaranteeName(violation.promise)) + ": "
                                      + violation.what);
        result.outcome = outcome();
        if (mustRun() && result.outcome != "ran/none")
            result.failures.push_back("the prompt did not outlive the fault: " + result.outcome);
        judgeOperator(result);
        result.trace = m_world.trace();
        return result;
    }

    void judgeOperator(CellResult &result)
    {
        if (m_cell.step == Step::Edit) {
            const auto &answers = m_world.editAnswers();
            const bool isAnswered =
                std::any_of(answers.begin(), answers.end(),
                            [](const EditResult &a) { return a.editId == "subject"; });
            if (!isAnswered && !has(Fault::VmDies))
                result.failures.push_back("the edit was never answered");
        }
        if (m_cell.step == Step::Order) {
            const EngineModel *engine = m_world.engine(kAnEngine);
            if (engine->state() != "model=grain-2")
                result.failures.push_back("the order did not take effect");
        }
    }

    std::string outcome() const
    {
        if (isOperatorStep(m_cell.step)) {
            if (m_cell.step == Step::Order)
                return "state " + const_cast<Simulation &>(m_world).engine(kAnEngine)->state();
            for (const EditResult &answer : m_world.editAnswers()) {
                if (answer.editId == "subject")
                    return "edit " + std::to_string(static_cast<int>(answer.outcome));
            }
            return "edit unanswered";
        }
        const auto answer = m_world.answer(m_request);
        if (!answer)
            return "unanswered";
        return std::string(verdictName(answer->verdict)) + '/'
            + std::string(reasonName(answer->reason));
    }

    Cell m_cell;
    Simulation m_world;
    RequestSpec m_spec;
    RequestId m_request;
    AttemptId m_attempt;
    UpstreamId m_upstream;
    VmId m_vm = kSubjectVm;
    bool m_isArmed = false;
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

std::string_view impossible(Step step, Fault fault)
{
    const bool isCallerFault = fault == Fault::CallerDisconnected || fault == Fault::KeyRepeated
        || fault == Fault::RequestKills;
    if (isOperatorStep(step) && isCallerFault)
        return "no caller's request takes part in this step";
    const bool isAnswerFault = fault == Fault::AnswerLate || fault == Fault::AnswerTwice
        || fault == Fault::AnswerOutOfOrder || fault == Fault::UpstreamRefuses;
    if (step == Step::Edit
        && (isAnswerFault || fault == Fault::UpstreamDies || fault == Fault::UpstreamHangs
            || fault == Fault::UpstreamLeaves))
        return "no upstream takes part in an edit";
    if (step == Step::Order && isAnswerFault)
        return "the model engine answers orders by its state; these faults are of streams";
    if (step == Step::RecordResult && isAnswerFault)
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
