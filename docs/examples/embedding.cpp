// Embeds two parts of the library: the fair queue chooses the next call, and the idempotency store
// decides whether it may be sent. The table service here is a map in memory; in production use a
// database with conditional writes.
#include "arbutuspier/fairqueue.h"
#include "arbutuspier/idempotencystore.h"

#include <cstdio>
#include <map>
#include <string>

using namespace arbutuspier;

namespace {

/// In-memory table service with conditional writes. A row that doesn't exist has version zero.
class MapTable
{
public:
    TableOutcome apply(const TableRequest &request)
    {
        if (const auto *read = std::get_if<TableRead>(&request))
            return TableRows{{row(read->key)}};
        TableConflict conflict;
        const auto &writes = std::get<TableTransaction>(request).writes;
        for (const ConditionalWrite &write : writes) {
            if (row(write.key).version != write.expected)
                conflict.rows.push_back(row(write.key));
        }
        if (!conflict.rows.empty())
            return conflict;
        for (const ConditionalWrite &write : writes)
            m_rows[write.key] = {write.key, write.expected + 1, write.value};
        return TableCommitted{};
    }

private:
    TableRow row(const std::string &key) const
    {
        auto it = m_rows.find(key);
        return it == m_rows.end() ? TableRow{key, 0, {}} : it->second;
    }
    std::map<std::string, TableRow> m_rows;
};

} // namespace

int main()
{
    MapTable table;
    Random random(1);
    FairQueue queue;
    IdempotencyStore idempotencyStore(IdempotencyOptions{}, TableOpId{1});
    const TimePoint now{std::chrono::seconds{1}};
    const WallTime wallNow{std::chrono::seconds{1'000'000}};

    // Two teams. The second sends the same idempotency key twice, so its second request must get
    // the stored result and not be sent.
    const std::map<RequestId, std::string> idempotencyKeys = {
        {RequestId{1}, "saw/a"}, {RequestId{2}, "mill/b"}, {RequestId{3}, "mill/b"}};
    queue.push(RequestId{1}, "order", "saw", LengthClass::Short, 1, 1);
    queue.push(RequestId{2}, "order", "mill", LengthClass::Short, 1, 1);
    queue.push(RequestId{3}, "order", "mill", LengthClass::Short, 1, 1);

    int sentCount = 0;
    int replayedCount = 0;
    while (const auto request = queue.pop(LengthClass::Short)) {
        const AttemptId attempt{request->value};
        idempotencyStore.begin(*request, attempt, idempotencyKeys.at(*request), wallNow,
                               Fingerprint{7}, wallNow);
        for (auto actions = idempotencyStore.takeActions(); !actions.empty();
             actions = idempotencyStore.takeActions()) {
            for (const IdempotencyStore::Action &action : actions) {
                if (const auto *call = std::get_if<IdempotencyStore::Call>(&action)) {
                    idempotencyStore.onTableReply(call->op, table.apply(call->request), now,
                                                  random);
                } else if (const auto *send = std::get_if<IdempotencyStore::SendNow>(&action)) {
                    ++sentCount;
                    idempotencyStore.onRan(send->attempt, 200, "booked");
                } else if (const auto *replay = std::get_if<IdempotencyStore::Replay>(&action)) {
                    ++replayedCount;
                    std::printf("a retry with the same key gets: %s\n", replay->result.c_str());
                }
            }
        }
    }
    std::printf("%d sent, %d replayed\n", sentCount, replayedCount);
    return sentCount == 2 && replayedCount == 1 ? 0 : 1;
}
