// A snapshot is one CBOR array: format version, configuration, replicas, departures, suspects.
#include "gateway/snapshotcodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

/// To be incremented when a field changes its meaning. VMs of other versions then start without a
/// snapshot.
constexpr std::uint64_t kFormatVersion = 1;

Json encodeReplica(const ReplicaEntry &replica)
{
    return Json::array({replica.id, replica.service, replica.address, replica.zone, replica.slots,
                        replica.state == ReplicaState::Draining, replica.startedAtMs});
}

std::optional<ReplicaEntry> decodeReplica(const Json &value)
{
    constexpr std::size_t kFields = 7;
    const bool isReplica = isArray(value, kFields) && value[0].is_string() && value[1].is_string()
        && value[2].is_string() && value[3].is_string() && value[4].is_number_unsigned()
        && value[4].get<std::uint64_t>() <= UINT32_MAX && value[5].is_boolean()
        && value[6].is_number_integer();
    if (!isReplica)
        return std::nullopt;
    ReplicaEntry replica;
    replica.id = value[0].get<std::string>();
    replica.service = value[1].get<std::string>();
    replica.address = value[2].get<std::string>();
    replica.zone = value[3].get<std::string>();
    replica.slots = value[4].get<std::uint32_t>();
    replica.state = value[5].get<bool>() ? ReplicaState::Draining : ReplicaState::Ready;
    replica.startedAtMs = value[6].get<std::int64_t>();
    return replica;
}

} // namespace

std::string encodeSnapshot(const Snapshot &snapshot)
{
    const std::vector<std::uint8_t> configuration(snapshot.configuration.begin(),
                                                  snapshot.configuration.end());
    const Json document = Json::array({kFormatVersion, Json::binary(configuration),
                                       encodeList(snapshot.replicas, encodeReplica),
                                       encodeList(snapshot.departures, encodeDeparture),
                                       encodeList(snapshot.suspects, encodeSuspectNotice)});
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes)
{
    constexpr std::size_t kFields = 5;
    const Json document = parseCbor(bytes);
    const bool isSnapshot = isArray(document, kFields) && document[0] == Json(kFormatVersion)
        && document[1].is_binary();
    if (!isSnapshot)
        return std::nullopt;
    Snapshot snapshot;
    const auto &configuration = document[1].get_binary();
    snapshot.configuration.assign(configuration.begin(), configuration.end());
    const bool isDecoded = decodeList(document[2], snapshot.replicas, decodeReplica)
        && decodeList(document[3], snapshot.departures, decodeDeparture)
        && decodeList(document[4], snapshot.suspects, decodeSuspectNotice);
    return isDecoded ? std::optional(std::move(snapshot)) : std::nullopt;
}

} // namespace arbutuspier
