// One CBOR array: format, format version. Builds that don't know the format drop it.
#include "gateway/replicasreadcodec.h"

#include "gateway/cborfields.h"

#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "replicas-read";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

} // namespace

std::string encodeReplicasRead()
{
    return toCbor(Json::array({kFormat, kFormatVersion}));
}

bool isReplicasRead(std::string_view bytes)
{
    constexpr std::size_t kFields = 2;
    return isArray(parseFormat(bytes, kFormat, kFormatVersion, kFields), kFields);
}

} // namespace arbutuspier
