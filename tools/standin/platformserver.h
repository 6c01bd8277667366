// The platform: table service, object store, weight store and the lagging list of VMs.
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
    Duration listLag = std::chrono::seconds{2};
    /// A VM that has not been heard of for this long is off the list.
    Duration vmTimeout = std::chrono::seconds{5};
    /// Weight loads a second.
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
        TimePoint heardAt;
    };
    struct Faults
    {
        bool isDown = false;
        Duration delay{};
        std::uint64_t lostReplies = 0;
    };
    struct List
    {
        TimePoint at;
        std::uint64_t revision = 0;
        std::string json;
    };

    Task<bool> handle(beast::tcp_stream &stream, Request request);
    Task<bool> table(beast::tcp_stream &stream, Request request);
    Task<bool> object(beast::tcp_stream &stream, Request request);
    Task<bool> weights(beast::tcp_stream &stream, Request request);
    bool setFaults(const std::string &body);
    std::string vmList(const std::string &body);
    void updateList();
    Task<void> pause(Duration duration);

    asio::io_context &m_context;
    PlatformServerOptions m_options;
    model::TableModel m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::uint64_t, Vm> m_vms;
    std::deque<List> m_lists;
    std::uint64_t m_revision = 0;
    Faults m_faults;
    TimePoint m_nextWeights;
};

} // namespace arbutuspier::standin
