// A snapshot is one CBOR array: format version, configuration, replicas, departures, suspects.
#include "gateway/snapshotcodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

/// To be incremented when a field changes its meaning. VMs of other versions then start without a
/// snapshot.
constexpr std::uint64_t kFormatVersion = 1;

} // namespace

std::string encodeSnapshot(const Snapshot &snapshot)
{
    const std::vector<std::uint8_t> configuration(snapshot.configuration.begin(),
                                                  snapshot.configuration.end());
    const Json document = Json::array({kFormatVersion, Json::binary(configuration),
                                       encodeList(snapshot.replicas, encodeReplica),
                                       encodeList(snapshot.departures, encodeDeparture),
                                       encodeList(snapshot.suspects, encodeSuspectNotice)});
    return toCbor(document);
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
