// A member that doesn't reply to a probe is probed by other members, then suspected, then declared
// unreachable. A member that learns that it is suspected refutes it with a higher counter.
#include "arbutuspier/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutuspier {

namespace {

/// Rank of the states: of two updates with the same counter, the one with the higher rank wins.
int severity(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
    case MemberState::Draining:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Unreachable:
        return 2;
    case MemberState::Removed:
        return 3;
    }
    return 0;
}

} // namespace

Membership::Membership(VmInfo self, Incarnation incarnation, std::span<const VmInfo> peers,
                       MembershipOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(options)
{
    for (const VmInfo &peer : peers) {
        Member member;
        member.info = peer;
        m_members[peer.id] = member;
        m_probeOrder.push_back(peer.id);
    }
    queueOwnGossip();
}

Membership::Member *Membership::find(VmId vm)
{
    auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second;
}

int Membership::sendsPerUpdate() const
{
    const auto size = static_cast<double>(m_members.size() + 2);
    return static_cast<int>(std::ceil(m_options.gossipFactor * std::log2(size)));
}

void Membership::queueGossip(const Member &member)
{
    MemberState state = member.state;
    if (member.isDraining && severity(state) == 0)
        state = MemberState::Draining;
    m_gossip[member.info.id] = {{member.info.id, member.incarnation, member.counter, state},
                                sendsPerUpdate()};
}

void Membership::queueOwnGossip()
{
    const MemberState state = m_isDraining ? MemberState::Draining : MemberState::Alive;
    m_gossip[m_self.id] = {{m_self.id, m_incarnation, m_selfCounter, state}, sendsPerUpdate()};
}

void Membership::setState(Member &member, MemberState state, TimePoint now)
{
    if (member.state == state)
        return;
    if (state == MemberState::Suspect)
        member.suspectedAt = now;
    member.state = state;
    queueGossip(member);
    m_changes.push_back({member.info.id, member.incarnation, state});
}

void Membership::onMessageFrom(VmId from, Incarnation incarnation, TimePoint now)
{
    Member *member = find(from);
    if (!member || incarnation < member->incarnation)
        return;
    if (incarnation > member->incarnation) {
        const Incarnation earlier = member->incarnation;
        if (earlier.isValid())
            m_changes.push_back({from, earlier, MemberState::Removed});
        member->incarnation = incarnation;
        member->counter = 0;
        member->isDraining = false;
        member->state = MemberState::Unreachable;
    }
    if (member->state == MemberState::Removed)
        return;
    member->lastMessageAt = now;
    setState(*member, MemberState::Alive, now);
}

void Membership::onPing(VmId, const Ping &ping)
{
    m_outgoing.push_back({ping.replyTo, PingAck{ping.sequence, m_self.id}});
}

void Membership::onPingAck(VmId, const PingAck &ack, TimePoint now)
{
    if (auto relay = m_relays.find(ack.sequence); relay != m_relays.end()) {
        m_outgoing.push_back({relay->second.origin, PingAck{relay->second.sequence, ack.subject}});
        m_relays.erase(relay);
        return;
    }
    auto probe = m_probes.find(ack.sequence);
    if (probe == m_probes.end())
        return;
    if (Member *member = find(probe->second.target);
        member && member->state != MemberState::Removed)
        setState(*member, MemberState::Alive, now);
    m_probes.erase(probe);
}

void Membership::onPingRequest(VmId from, const PingRequest &request, TimePoint now)
{
    const std::uint64_t sequence = ++m_sequence;
    m_relays[sequence] = {from, request.sequence, now};
    m_outgoing.push_back({request.target, Ping{sequence, m_self.id}});
}

void Membership::onUpdates(std::span<const MemberUpdate> updates, TimePoint now)
{
    for (const MemberUpdate &update : updates)
        applyUpdate(update, now);
}

void Membership::applyUpdate(const MemberUpdate &update, TimePoint now)
{
    if (update.vm == m_self.id) {
        const bool isThisIncarnation = update.incarnation == m_incarnation;
        if (isThisIncarnation && severity(update.state) > 0 && update.counter >= m_selfCounter) {
            m_selfCounter = update.counter + 1;
            queueOwnGossip();
        }
        return;
    }
    Member *member = find(update.vm);
    if (!member || update.incarnation < member->incarnation)
        return;
    if (update.incarnation > member->incarnation) {
        if (member->incarnation.isValid())
            m_changes.push_back({update.vm, member->incarnation, MemberState::Removed});
        member->incarnation = update.incarnation;
        member->counter = update.counter;
        member->isDraining = false;
        member->state = MemberState::Unreachable;
    } else {
        const bool isNewer = update.counter > member->counter
            || (update.counter == member->counter
                && severity(update.state) > severity(member->state));
        const bool isNewlyDraining = update.state == MemberState::Draining && !member->isDraining;
        if (!isNewer && !isNewlyDraining)
            return;
        member->counter = std::max(member->counter, update.counter);
    }
    if (update.state == MemberState::Draining)
        member->isDraining = true;
    if (member->state == MemberState::Removed)
        return;
    const bool isAlive = severity(update.state) == 0;
    const MemberState next = isAlive ? MemberState::Alive : update.state;
    if (member->state == next)
        queueGossip(*member);
    setState(*member, next, now);
}

void Membership::onVmList(const VmListUpdate &list, TimePoint now)
{
    if (list.revision <= m_listRevision)
        return;
    m_listRevision = list.revision;
    for (auto &[vm, member] : m_members) {
        auto it = std::find_if(list.vms.begin(), list.vms.end(),
                               [&id = vm](const ListedVm &entry) { return entry.vm == id; });
        if (it == list.vms.end())
            continue;
        if (it->incarnation > member.incarnation && member.incarnation.isValid()) {
            m_changes.push_back({vm, member.incarnation, MemberState::Removed});
            member.incarnation = it->incarnation;
            member.counter = 0;
            member.isDraining = false;
            member.state = MemberState::Unreachable;
        }
        if (it->isDraining && it->incarnation == member.incarnation)
            member.isDraining = true;
    }
    // An unresponsive member whose incarnation isn't on the list has been removed. A member that is
    // reachable but not listed may have started after the list was made.
    for (auto &entry : m_members) {
        Member &member = entry.second;
        const bool isListed =
            std::any_of(list.vms.begin(), list.vms.end(), [&](const ListedVm &listed) {
                return listed.vm == member.info.id && listed.incarnation == member.incarnation;
            });
        const bool isUnresponsive = severity(member.state) >= severity(MemberState::Suspect);
        if (!isListed && isUnresponsive && member.incarnation.isValid())
            setState(member, MemberState::Removed, now);
    }
}

void Membership::announceDraining()
{
    m_isDraining = true;
    ++m_selfCounter;
    queueOwnGossip();
}

void Membership::probeNext(TimePoint now, Random &random)
{
    if (m_probeOrder.empty())
        return;
    if (m_nextProbeIndex >= m_probeOrder.size()) {
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), random);
        m_nextProbeIndex = 0;
    }
    probe(m_probeOrder[m_nextProbeIndex++], now);
}

void Membership::probe(VmId target, TimePoint now)
{
    const std::uint64_t sequence = ++m_sequence;
    m_probes[sequence] = {target, now, false};
    m_outgoing.push_back({target, Ping{sequence, m_self.id}});
}

void Membership::probeAll(TimePoint now)
{
    if (m_allProbedAt == now)
        return;
    m_allProbedAt = now;
    for (const auto &[vm, member] : m_members) {
        if (member.state != MemberState::Removed)
            probe(vm, now);
    }
}

void Membership::tick(TimePoint now, Random &random)
{
    if (!m_nextProbeAt)
        m_nextProbeAt = now;
    if (now >= *m_nextProbeAt) {
        m_nextProbeAt = now + jittered(random, m_options.probePeriod);
        probeNext(now, random);
    }
    const std::vector<VmId> probers = reachable();
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto &[sequence, probe] = *it;
        Member *member = find(probe.target);
        if (!probe.isIndirectSent && now >= probe.sentAt + m_options.ackTimeout) {
            probe.isIndirectSent = true;
            for (std::size_t i = 0; i < m_options.indirectProbes && !probers.empty(); ++i) {
                const VmId prober = probers[uniformIndex(random, probers.size())];
                if (prober != probe.target)
                    m_outgoing.push_back({prober, PingRequest{sequence, probe.target}});
            }
        }
        if (now < probe.sentAt + m_options.ackTimeout * 3) {
            ++it;
            continue;
        }
        if (member->state == MemberState::Alive)
            setState(*member, MemberState::Suspect, now);
        it = m_probes.erase(it);
    }
    for (auto &[vm, member] : m_members) {
        const bool isSuspicionExpired = member.state == MemberState::Suspect
            && now >= member.suspectedAt + m_options.suspicionTimeout;
        if (isSuspicionExpired)
            setState(member, MemberState::Unreachable, now);
    }
    std::erase_if(m_relays, [&](const auto &entry) {
        return now >= entry.second.at + m_options.ackTimeout * 3;
    });
}

MemberState Membership::state(VmId vm) const
{
    if (vm == m_self.id)
        return m_isDraining ? MemberState::Draining : MemberState::Alive;
    auto it = m_members.find(vm);
    if (it == m_members.end())
        return MemberState::Removed;
    const Member &member = it->second;
    return member.isDraining && member.state == MemberState::Alive ? MemberState::Draining
                                                                   : member.state;
}

Incarnation Membership::incarnation(VmId vm) const
{
    if (vm == m_self.id)
        return m_incarnation;
    auto it = m_members.find(vm);
    return it == m_members.end() ? Incarnation{} : it->second.incarnation;
}

std::size_t Membership::aliveCount() const
{
    const auto others = std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.state == MemberState::Alive && !entry.second.isDraining;
    });
    return static_cast<std::size_t>(others) + 1;
}

std::vector<VmId> Membership::reachable() const
{
    std::vector<VmId> found;
    for (const auto &[vm, member] : m_members) {
        if (member.state == MemberState::Alive)
            found.push_back(vm);
    }
    return found;
}

std::vector<VmId> Membership::unreachable() const
{
    std::vector<VmId> found;
    for (const auto &[vm, member] : m_members) {
        if (member.state != MemberState::Alive)
            found.push_back(vm);
    }
    return found;
}

std::vector<VmId> Membership::unresponsive() const
{
    std::vector<VmId> found = unreachable();
    std::erase_if(found, [this](VmId vm) {
        return state(vm) == MemberState::Removed || !incarnation(vm).isValid();
    });
    return found;
}

bool Membership::hasMessageFromAllSince(TimePoint since) const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        const Member &member = entry.second;
        const bool mayRun = member.incarnation.isValid() && member.state != MemberState::Removed;
        return !mayRun || member.lastMessageAt > since;
    });
}

std::vector<VmId> Membership::backupPeers(std::size_t count) const
{
    std::vector<VmId> inZone;
    std::vector<VmId> outside;
    for (const auto &[vm, member] : m_members) {
        if (member.state != MemberState::Alive || member.isDraining)
            continue;
        (member.info.zone == m_self.zone ? inZone : outside).push_back(vm);
    }
    // Start with the next higher id than the own one, so that the VMs' choices are spread evenly
    // over all members.
    const auto rotatePastSelf = [&](std::vector<VmId> &list) {
        auto first = std::upper_bound(list.begin(), list.end(), m_self.id);
        std::rotate(list.begin(), first, list.end());
    };
    rotatePastSelf(inZone);
    rotatePastSelf(outside);
    std::vector<VmId> chosen;
    if (!inZone.empty() && count > 0)
        chosen.push_back(inZone.front());
    for (VmId vm : outside) {
        if (chosen.size() < count)
            chosen.push_back(vm);
    }
    for (std::size_t i = 1; i < inZone.size() && chosen.size() < count; ++i)
        chosen.push_back(inZone[i]);
    return chosen;
}

std::vector<MemberUpdate> Membership::updatesToSend()
{
    std::vector<GossipEntry *> pending;
    for (auto &[vm, entry] : m_gossip)
        pending.push_back(&entry);
    std::sort(pending.begin(), pending.end(), [](const GossipEntry *a, const GossipEntry *b) {
        return a->remainingSends > b->remainingSends;
    });
    std::vector<MemberUpdate> updates;
    for (GossipEntry *entry : pending) {
        if (updates.size() == m_options.maxUpdates)
            break;
        updates.push_back(entry->update);
        --entry->remainingSends;
    }
    std::erase_if(m_gossip, [](const auto &entry) { return entry.second.remainingSends <= 0; });
    return updates;
}

std::vector<Membership::Outgoing> Membership::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::vector<Membership::Change> Membership::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace arbutuspier
