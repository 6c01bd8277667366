// What the watcher knows of the replicas when the store drops its history and returns old copies.
#include "gatewayfixture.h"

#include "gateway/storewatcher.h"

#include <boost/beast/http/write.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

/// A response to a call about the replicas.
struct StoreAnswer
{
    int status = 200;
    std::string body = "{}";
};

/// A store with scripted answers about the replicas; the last one of each kind is repeated. Its
/// other tables are empty.
class ScriptedStore
{
public:
    explicit ScriptedStore(asio::io_context &context)
        : m_context(context)
        , m_acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    Address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    std::deque<StoreAnswer> copies;
    std::deque<StoreAnswer> changes;
    int copyCount = 0;
    int changeCount = 0;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Task<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    Task<void> serve(Tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        while (true) {
            Request request;
            const auto [error, size] =
                co_await boost::beast::http::async_read(stream, buffer, request, kAwait);
            if (error)
                co_return;
            const StoreAnswer answer = answerTo(std::string(request.target()));
            const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                + " X\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n"
                + answer.body;
            co_await asio::async_write(stream, asio::buffer(text), kAwait);
        }
    }

    StoreAnswer answerTo(const std::string &target)
    {
        const bool isAboutReplicas = target.find("tableName=servers") != std::string::npos;
        if (!isAboutReplicas)
            return {200, R"({"rows":[],"schemaVersion":1})"};
        const bool isCopy = target.starts_with("/rows-get");
        ++(isCopy ? copyCount : changeCount);
        return next(isCopy ? copies : changes);
    }

    static StoreAnswer next(std::deque<StoreAnswer> &answers)
    {
        const StoreAnswer answer = answers.front();
        if (answers.size() > 1)
            answers.pop_front();
        return answer;
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
};

/// Rows of the replicas at a revision; one replica that is ready.
StoreAnswer listOfOne(int revision)
{
    // The data is {"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready"}.
    return {200,
            R"({"rows":[{"key":"i-1","schemaVersion":2,"data":")"
            "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJ6Iiwic2xvdHMiOjYsIn"
            "N0YXRlIjoicmVhZHkifQ=="
            R"("}],"schemaVersion":)"
                + std::to_string(revision) + '}'};
}

StoreAnswer emptyList(int revision)
{
    return {200, R"({"rows":[],"schemaVersion":)" + std::to_string(revision) + '}'};
}

StoreAnswer truncatedHistory()
{
    return {410, "{}"};
}

} // namespace

TEST_GROUP(AStoreWatcher)
{
    GatewayFixture fixture;
    ScriptedStore store{fixture.context};
    std::unique_ptr<StoreWatcher> watcher;

    void setup() override
    {
        fixture.settings.store = store.address();
        fixture.settings.drainBound = std::chrono::milliseconds{50};
        watcher = std::make_unique<StoreWatcher>(fixture.context, fixture.state);
    }

    /// Runs until the store was asked `count` times for the replicas.
    void runUntilAsked(int count)
    {
        while (store.copyCount + store.changeCount < count)
            fixture.context.run_one();
    }
};

// Guards against a replica that left while the store dropped its history, and is used until its
// next heartbeat because the copy that was read then was too old to show it.
TEST(AStoreWatcher, readsTheReplicasAgainAfterACopyThatWasTooOld)
{
    store.copies = {listOfOne(10), listOfOne(8), emptyList(12)};
    store.changes = {truncatedHistory(), emptyList(12)};
    watcher->start();
    constexpr int kEnoughCalls = 6;
    runUntilAsked(kEnoughCalls);
    LONGS_EQUAL(3, store.copyCount);
    LONGS_EQUAL(0, fixture.state.directory.usable("s").size());
}

// Guards against calls without a pause while the store returns no copy that is recent enough.
TEST(AStoreWatcher, pausesBetweenCopiesThatAreTooOld)
{
    store.copies = {listOfOne(10), listOfOne(8)};
    store.changes = {truncatedHistory()};
    watcher->start();
    const TimePoint startedAt = fixture.clock.now();
    constexpr int kCalls = 5;
    runUntilAsked(kCalls);
    // The first and the second pause are half of 100 and of 200 ms long, or longer.
    CHECK(fixture.clock.now() - startedAt >= std::chrono::milliseconds{150});
    LONGS_EQUAL(1, store.changeCount);
    LONGS_EQUAL(1, fixture.state.directory.usable("s").size());
}
