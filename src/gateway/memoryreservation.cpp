// Sends reserve and release orders to replicas, over the same connection pool as requests.
#include "gateway/memoryreservation.h"

#include "gateway/upstreamattempt.h"
#include "kernel/logline.h"
#include "platform/reservation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace arbutuspier {

namespace {

/// Time limit of a reservation. It is shorter than the time for which the platform allows reserved
/// memory to be unused, even if an order is carried out late.
constexpr Duration kReservationTimeLimit = std::chrono::milliseconds{3200};
/// Interval between extensions of a reservation. One lost extension doesn't end it.
constexpr Duration kExtendInterval = std::chrono::milliseconds{1200};
constexpr Duration kOrderTimeout = std::chrono::milliseconds{400};
constexpr Duration kConnectTimeout = std::chrono::milliseconds{250};
constexpr std::size_t kMaxOrderReplyBytes = 64 * 1024;
/// Maximum number of times that an unanswered release is sent. After that the reservation's time
/// limit frees the memory.
constexpr int kReleaseAttempts = 3;

/// In place of a status: the order was not sent, as the replica rests or its zone is evacuated.
constexpr int kWithheld = -1;

/// Sends an order. Returns the status of the response, zero if none came, or `kWithheld`.
Task<int> sendOrder(GatewayState &state, const ReplicaEntry &replica, platform::OrderRequest order)
{
    if (!state.rests.tryControlRequest(replica.incarnation(), state.clock.now())) {
        // Its time limit ends the reservation.
        state.metrics.incrementCounter("orders", "withheld");
        LOG(INFO) << LogLine("order_withheld").add("replica", replica.id).text();
        co_return kWithheld;
    }
    UpstreamAttempt attempt(state.executor, state.pool, replica.incarnation());
    attempt.setSentAt(state.clock.now());
    attempt.expireAt(attempt.sentAt() + kOrderTimeout);
    UpstreamAttempt::Request request(boost::beast::http::request_header<>(order.base()));
    request.body() = {order.body().data(), order.body().size()};
    const auto sent = co_await attempt.send(request, replica.address, false, kConnectTimeout);
    state.metrics.incrementCounter(
        "orders", sent == UpstreamAttempt::SendResult::GotHead ? "answered" : "lost");
    if (sent != UpstreamAttempt::SendResult::GotHead)
        co_return 0;
    state.recordRest(replica.incarnation(), attempt.head());
    if (attempt.head().isLeaving)
        state.recordLeaving(replica.incarnation());
    // Only a response to a request shows that a limit has ended.
    state.recordRequestLimit(replica.incarnation(), attempt.head(), false, attempt.sentAt());
    std::string body;
    UpstreamAttempt::ReadProgress progress = UpstreamAttempt::ReadProgress::More;
    while (progress == UpstreamAttempt::ReadProgress::More && body.size() <= kMaxOrderReplyBytes)
        progress = co_await attempt.read(body);
    const int status = attempt.status();
    attempt.release(state.clock.now(), true, false);
    co_return status;
}

} // namespace

struct MemoryReservation::SharedState
{
    SharedState(GatewayState &stateToUse, std::vector<ReservationPart> partsToReserve)
        : state(stateToUse)
        , parts(std::move(partsToReserve))
        , isReserved(parts.size(), false)
        , firstRoundEvent(stateToUse.executor)
        , extendTimer(stateToUse.executor)
    {
    }

    GatewayState &state;
    std::vector<ReservationPart> parts;
    std::vector<bool> isReserved;
    /// Number of parts whose first reserve order has no known outcome yet.
    std::size_t pendingOrders = 0;
    /// Never expires; cancelled to wake `acquire` when `pendingOrders` reaches zero.
    asio::steady_timer firstRoundEvent;
    asio::steady_timer extendTimer;
    bool isReleased = false;
};

MemoryReservation::MemoryReservation(std::shared_ptr<SharedState> shared)
    : m_shared(std::move(shared))
{
}

MemoryReservation::~MemoryReservation()
{
    m_shared->extendTimer.cancel();
    releaseAll(m_shared);
}

void MemoryReservation::releaseAll(const std::shared_ptr<SharedState> &shared)
{
    shared->isReleased = true;
    for (std::size_t partIndex = 0; partIndex < shared->parts.size(); ++partIndex)
        asio::co_spawn(shared->state.executor, release(shared, partIndex), asio::detached);
}

Task<void> MemoryReservation::reserve(std::shared_ptr<SharedState> shared, std::size_t partIndex)
{
    const ReservationPart &reservation = shared->parts[partIndex];
    // In an evacuated zone, memory is held only for what runs there already.
    const bool isWithheld =
        !shared->isReserved[partIndex] && shared->state.directory.isEvacuated(reservation.replica);
    int status = kWithheld;
    if (!isWithheld)
        status =
            co_await sendOrder(shared->state, reservation.replica,
                               platform::reserveOrder(reservation.replica, reservation.id,
                                                      reservation.tokens, kReservationTimeLimit));
    shared->isReserved[partIndex] =
        platform::decodeReserveStatus(status) == platform::ReserveOutcome::Reserved;
    if (!shared->isReserved[partIndex]) {
        // Status 0 means that no response came.
        LOG(INFO) << LogLine("reservation_refused")
                         .add("reservation", reservation.id)
                         .add("replica", reservation.replica.id)
                         .add("tokens", reservation.tokens)
                         .add("status", std::to_string(status))
                         .text();
    }
    if (shared->pendingOrders > 0 && --shared->pendingOrders == 0)
        shared->firstRoundEvent.cancel();
    // If this order was an extension, it may have reached the replica after the release and so
    // reserved the memory again.
    if (shared->isReleased)
        co_await release(shared, partIndex);
}

Task<void> MemoryReservation::release(std::shared_ptr<SharedState> shared, std::size_t partIndex)
{
    const ReservationPart &reservation = shared->parts[partIndex];
    for (int i = 0; i < kReleaseAttempts; ++i) {
        const int status =
            co_await sendOrder(shared->state, reservation.replica,
                               platform::releaseOrder(reservation.replica, reservation.id));
        if (status != 0)
            co_return;
    }
    LOG(INFO) << LogLine("release_unanswered")
                     .add("reservation", reservation.id)
                     .add("replica", reservation.replica.id)
                     .text();
}

Task<void> MemoryReservation::extendUntilReleased(std::shared_ptr<SharedState> shared)
{
    while (!shared->isReleased) {
        shared->extendTimer.expires_after(kExtendInterval);
        co_await shared->extendTimer.async_wait(kAwait);
        if (shared->isReleased)
            co_return;
        for (std::size_t partIndex = 0; partIndex < shared->parts.size(); ++partIndex)
            asio::co_spawn(shared->state.executor, reserve(shared, partIndex), asio::detached);
    }
}

Task<std::unique_ptr<MemoryReservation>> MemoryReservation::acquire(
    GatewayState &state, std::vector<ReservationPart> parts)
{
    auto shared = std::make_shared<SharedState>(state, std::move(parts));
    shared->pendingOrders = shared->parts.size();
    shared->firstRoundEvent.expires_at(asio::steady_timer::time_point::max());
    for (std::size_t partIndex = 0; partIndex < shared->parts.size(); ++partIndex)
        asio::co_spawn(state.executor, reserve(shared, partIndex), asio::detached);
    while (shared->pendingOrders > 0)
        co_await shared->firstRoundEvent.async_wait(kAwait);
    for (const bool isReserved : shared->isReserved) {
        if (isReserved)
            continue;
        releaseAll(shared);
        co_return nullptr;
    }
    asio::co_spawn(state.executor, extendUntilReleased(shared), asio::detached);
    co_return std::unique_ptr<MemoryReservation>(new MemoryReservation(shared));
}

} // namespace arbutuspier
