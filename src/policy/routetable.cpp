// All lookups use hash maps, except that the prefix is found by a scan of one host's few routes.
#include "arbutuspier/routetable.h"

#include <algorithm>

namespace arbutuspier {

namespace {

std::string normalizedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    std::string text(host.substr(0, colon));
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

bool isValidRoute(const ServiceRoute &route)
{
    return !route.services.empty() && !route.prefix.empty() && route.prefix.front() == '/'
        && route.prefix.back() == '/';
}

} // namespace

bool ServiceRoute::isRetryable() const
{
    return kind == RetryKind::Idempotent || (kind == RetryKind::Stream && isResumable);
}

std::shared_ptr<const RouteTable> RouteTable::make(Configuration configuration)
{
    const bool areAllValid =
        std::all_of(configuration.routes.begin(), configuration.routes.end(), isValidRoute);
    if (!areAllValid)
        return nullptr;
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const ServiceRoute &route : m_configuration.routes)
        m_byHost[normalizedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const ServiceRoute *a, const ServiceRoute *b) {
                             return a->prefix.size() > b->prefix.size();
                         });
    }
    for (const TeamSpec &team : m_configuration.teams) {
        for (const std::string &key : team.keys)
            m_byKey[key] = &team;
    }
    for (const ServiceSpec &service : m_configuration.services)
        m_byName[service.name] = &service;
}

const ServiceRoute *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(normalizedHost(host));
    if (found == m_byHost.end())
        return nullptr;
    for (const ServiceRoute *route : found->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix)
            return route;
    }
    return nullptr;
}

const TeamSpec *RouteTable::teamOfKey(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

const ServiceSpec *RouteTable::service(std::string_view name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

const std::string &pickService(const ServiceRoute &route, double draw)
{
    std::uint64_t total = 0;
    for (const WeightedService &entry : route.services)
        total += entry.weight;
    double remaining = draw * static_cast<double>(total);
    for (const WeightedService &entry : route.services) {
        remaining -= static_cast<double>(entry.weight);
        if (remaining < 0)
            return entry.service;
    }
    return route.services.back().service;
}

} // namespace arbutuspier
