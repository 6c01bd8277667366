// One CBOR array: format, format version, notices. It begins with a string, so that it can't be
// mistaken for a datagram of another kind; builds that don't know it drop it.
#include "gateway/requestlimitcodec.h"

#include "gateway/cborfields.h"

#include <cmath>
#include <cstdint>

namespace arbutuspier {

namespace {

constexpr const char *kFormat = "request-limits";
/// To be incremented when a field changes its meaning.
constexpr std::uint64_t kFormatVersion = 1;

Json encodeNotice(const RequestLimitNotice &notice)
{
    return Json::array({notice.incarnation.id, notice.incarnation.startedAtMs, notice.sequence,
                        notice.perSecond ? Json(*notice.perSecond) : Json(nullptr)});
}

bool isLimit(const Json &value)
{
    return value.is_number() && std::isfinite(value.get<double>()) && value.get<double>() >= 0;
}

std::optional<RequestLimitNotice> decodeNotice(const Json &value)
{
    constexpr std::size_t kFields = 4;
    const bool isNotice = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_number_unsigned()
        && (value[3].is_null() || isLimit(value[3]));
    if (!isNotice)
        return std::nullopt;
    RequestLimitNotice notice{{value[0].get<std::string>(), value[1].get<std::int64_t>()},
                              value[2].get<std::uint64_t>(),
                              std::nullopt};
    if (!value[3].is_null())
        notice.perSecond = value[3].get<double>();
    return notice;
}

} // namespace

std::string encodeRequestLimits(const std::vector<RequestLimitNotice> &notices)
{
    const Json document = Json::array({kFormat, kFormatVersion, encodeList(notices, encodeNotice)});
    return toCbor(document);
}

std::optional<std::vector<RequestLimitNotice>> decodeRequestLimits(std::string_view bytes)
{
    constexpr std::size_t kFields = 3;
    const Json document = parseFormat(bytes, kFormat, kFormatVersion, kFields);
    const bool isList = isArray(document, kFields);
    if (!isList)
        return std::nullopt;
    std::vector<RequestLimitNotice> notices;
    if (!decodeList(document[2], notices, decodeNotice))
        return std::nullopt;
    return notices;
}

} // namespace arbutuspier
