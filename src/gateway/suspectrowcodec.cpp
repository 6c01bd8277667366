// A row is one CBOR array: format version, time of writing, notices.
#include "gateway/suspectrowcodec.h"

#include "gateway/cborfields.h"

#include <array>
#include <cstdint>
#include <cstdio>

namespace arbutuspier {

namespace {

/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

} // namespace

std::string suspectRowKey(Fingerprint fingerprint, std::string_view vm)
{
    constexpr std::size_t kHexDigits = 16;
    std::array<char, kHexDigits + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(fingerprint.value));
    return std::string(hex.data()) + '/' + std::string(vm);
}

std::string encodeSuspectRow(const SuspectRow &row)
{
    const Json document = Json::array(
        {kFormatVersion, row.writtenAt.count(), encodeList(row.notices, encodeSuspectNotice)});
    return toCbor(document);
}

std::optional<SuspectRow> decodeSuspectRow(std::string_view bytes)
{
    constexpr std::size_t kFields = 3;
    const Json document = parseCbor(bytes);
    const bool isRow = isArray(document, kFields) && document[0] == Json(kFormatVersion)
        && document[1].is_number_integer();
    if (!isRow)
        return std::nullopt;
    SuspectRow row;
    row.writtenAt = std::chrono::seconds{document[1].get<std::int64_t>()};
    if (!decodeList(document[2], row.notices, decodeSuspectNotice))
        return std::nullopt;
    return row;
}

} // namespace arbutuspier
