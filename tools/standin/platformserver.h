// Platform simulator: table service, object store, weight store and a VM list that is published
// with a delay.
#pragma once

#include "model/tablemodel.h"
#include "simpleserver.h"

#include <deque>
#include <map>
#include <string>

namespace arbutuspier::standin {

struct PlatformServerOptions
{
    Address listen;
    model::TableModelOptions table;
    /// Delay until a change of the VM list becomes visible.
    Duration vmListDelay = std::chrono::seconds{2};
    /// Time since the last request of a VM after which it is removed from the list.
    Duration vmTimeout = std::chrono::seconds{5};
    /// Weight loads served per second; further loads wait.
    double weightsPerSecond = 2;
};

class PlatformServer
{
public:
    PlatformServer(asio::io_context &context, PlatformServerOptions options);
    bool start();

private:
    struct Vm
    {
        std::uint64_t incarnation = 0;
        TimePoint lastHeartbeatAt;
    };
    /// Faults to simulate, set with POST /faults.
    struct Faults
    {
        /// Every path but /faults and /counters responds with status 503.
        bool isDown = false;
        /// Added to each table call.
        Duration tableDelay{};
        /// Table writes to come whose reply is dropped after the write took effect.
        std::uint64_t repliesToDrop = 0;
    };
    /// One version of the VM list, with the time it was made.
    struct VmListVersion
    {
        TimePoint createdAt;
        std::uint64_t revision = 0;
        std::string json;
    };

    Task<bool> handle(beast::tcp_stream &stream, Request request);
    Task<bool> handleTable(beast::tcp_stream &stream, Request request);
    Task<bool> handleObject(beast::tcp_stream &stream, Request request);
    Task<bool> handleWeights(beast::tcp_stream &stream, Request request);
    bool setFaults(const std::string &body);
    /// Records the VM that the body names, if any, and returns the VM list as it was `vmListDelay`
    /// ago.
    std::string delayedVmList(const std::string &body);
    void updateVmList();
    Task<void> sleepFor(Duration duration);

    asio::io_context &m_context;
    PlatformServerOptions m_options;
    model::TableModel m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::uint64_t, Vm> m_vms;
    std::deque<VmListVersion> m_vmLists;
    std::uint64_t m_vmListRevision = 0;
    Faults m_faults;
    /// Time at which the last weight load that was accepted ends.
    TimePoint m_lastWeightLoadEndsAt;
};

} // namespace arbutuspier::standin
