// This VM's network paths to the replicas of each service: probes them when they may be lost, and
// until they are back.
#pragma once

#include "arbutuspier/random.h"
#include "arbutuspier/upstreampath.h"
#include "net/asiotypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

class UpstreamPaths
{
public:
    /// `clock`, `directory` and `random` must outlive it.
    UpstreamPaths(asio::any_io_executor executor, const Clock &clock,
                  const UpstreamDirectory &directory, Random &random);

    /// The replica refused a connection or didn't accept it in time.
    void onUnreachable(const ReplicaEntry &replica);
    /// The replica accepted a new connection.
    void onConnected(const ReplicaEntry &replica);
    /// The replica responded over any connection.
    void onResponse(const ReplicaEntry &replica);

    /// Whether this VM can open no connection to any replica of the service.
    bool isLost(const std::string &service) const;
    /// Whether the paths to all services that have replicas are lost, and these are several: the
    /// replicas of one service may have crashed.
    bool areAllLost() const;
    /// The services whose paths are lost.
    std::vector<std::string> lostServices() const;

    /// Called when the path to a service was lost, or is back.
    std::function<void(const std::string &service)> onChange;

private:
    struct Probes;

    /// Probes replicas of the service, and others until the path is back if it is lost.
    Task<void> check(std::string service);
    /// The path to one service was lost, and a VM often loses all of them at once: checks those to
    /// the others before requests wait there.
    void checkOtherServices(const std::string &lost);
    /// As `check`, but probes few replicas first.
    Task<void> checkOther(std::string service);
    Task<void> probe(std::shared_ptr<Probes> probes, ReplicaEntry replica);
    /// Probes the replicas at the same time, until one accepts or all have failed.
    Task<bool> isAnyAccepted(std::vector<ReplicaEntry> replicas);
    Task<void> probeUntilBack(std::string service);
    Task<bool> accepts(ReplicaEntry replica);
    void announce(const std::string &service);
    UpstreamPath &path(const std::string &service);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    const UpstreamDirectory &m_directory;
    Random &m_random;
    std::map<std::string, UpstreamPath> m_paths;
};

} // namespace arbutuspier
