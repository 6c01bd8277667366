// Decoding checks the types of fields and the sizes of lists, as input from a peer may be damaged.
#include "gateway/cborfields.h"

#include <exception>

namespace arbutuspier {

namespace {

/// No message nests deeper.
constexpr std::size_t kMaxDepth = 32;
/// The parser calls itself for each level. So many bytes can't make it run out of stack.
constexpr std::size_t kMaxUncheckedBytes = 1024;

/// Stops at a message that nests too deep.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= kMaxDepth; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= kMaxDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
};

bool isShallow(std::string_view bytes)
{
    DepthCheck check;
    return bytes.size() <= kMaxUncheckedBytes
        || Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor);
}

} // namespace

Json parseCbor(std::string_view bytes)
{
    // The parser throws on implausibly large sizes even when exceptions are disabled.
    try {
        if (!isShallow(bytes))
            return Json(Json::value_t::discarded);
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const std::exception &) {
        return Json(Json::value_t::discarded);
    }
}

std::string toCbor(const Json &document)
{
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

bool isFormat(const Json &document, const char *format, std::uint64_t version,
              std::size_t minFields)
{
    return document.is_array() && document.size() >= minFields && document[0] == Json(format)
        && document[1] == Json(version);
}

bool isNamedFormat(std::string_view bytes)
{
    constexpr std::size_t kMinBytes = 2;
    constexpr unsigned kTypeShift = 5;
    constexpr unsigned kTextType = 3;
    constexpr unsigned kArrayType = 4;
    const auto typeAt = [&](std::size_t index) {
        return static_cast<unsigned char>(bytes[index]) >> kTypeShift;
    };
    return bytes.size() >= kMinBytes && typeAt(0) == kArrayType && typeAt(1) == kTextType;
}

namespace {

/// False only if the bytes begin with the name of another format.
bool mayBeFormat(std::string_view bytes, std::string_view format)
{
    // Longer arrays and names have further bytes of length, and are left to the parser.
    constexpr unsigned kLengthMask = 0x1f;
    constexpr unsigned kMaxInlineLength = 23;
    constexpr std::size_t kNameAt = 2;
    if (!isNamedFormat(bytes))
        return true;
    const unsigned fields = static_cast<unsigned char>(bytes[0]) & kLengthMask;
    const unsigned nameLength = static_cast<unsigned char>(bytes[1]) & kLengthMask;
    const bool isShort = fields <= kMaxInlineLength && nameLength <= kMaxInlineLength;
    return !isShort || bytes.substr(kNameAt, nameLength) == format;
}

} // namespace

Json parseFormat(std::string_view bytes, const char *format, std::uint64_t version,
                 std::size_t minFields)
{
    const Json discarded(Json::value_t::discarded);
    if (!mayBeFormat(bytes, format))
        return discarded;
    Json document = parseCbor(bytes);
    return isFormat(document, format, version, minFields) ? document : discarded;
}

std::string encodeByteString(const char *format, std::uint64_t version, std::string_view bytes)
{
    const std::vector<std::uint8_t> field(bytes.begin(), bytes.end());
    return toCbor(Json::array({format, version, Json::binary(field)}));
}

std::optional<std::string> decodeByteString(std::string_view document, const char *format,
                                            std::uint64_t version)
{
    constexpr std::size_t kMinFields = 3;
    const Json parsed = parseFormat(document, format, version, kMinFields);
    const bool isByteString = !parsed.is_discarded() && parsed[2].is_binary();
    if (!isByteString)
        return std::nullopt;
    const auto &bytes = parsed[2].get_binary();
    return std::string(bytes.begin(), bytes.end());
}

Json encodeDeparture(const Departure &departure)
{
    return Json::array(
        {departure.incarnation.id, departure.incarnation.startedAtMs, departure.wasDraining});
}

std::optional<Departure> decodeDeparture(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isDeparture = isArray(value, kFields) && value[0].is_string()
        && value[1].is_number_integer() && value[2].is_boolean();
    if (!isDeparture)
        return std::nullopt;
    return Departure{{value[0].get<std::string>(), value[1].get<std::int64_t>()},
                     value[2].get<bool>()};
}

namespace {

/// True if the suspicion is cleared, null if the crash is unconfirmed.
Json encodeCrashState(CrashState state)
{
    if (state == CrashState::Unconfirmed)
        return nullptr;
    return state == CrashState::Cleared;
}

CrashState decodeCrashState(const Json &value)
{
    if (value.is_null())
        return CrashState::Unconfirmed;
    return value == Json(true) ? CrashState::Cleared : CrashState::Confirmed;
}

} // namespace

Json encodeSuspectNotice(const SuspectNotice &notice)
{
    return Json::array({notice.fingerprint.value, notice.crashes, encodeCrashState(notice.state)});
}

std::optional<SuspectNotice> decodeSuspectNotice(const Json &value)
{
    constexpr std::size_t kFields = 3;
    const bool isNotice = isArray(value, kFields) && value[0].is_number_unsigned()
        && value[1].is_array() && value[1].size() <= kMaxListItems
        && (value[2].is_boolean() || value[2].is_null());
    if (!isNotice)
        return std::nullopt;
    SuspectNotice notice;
    notice.fingerprint = Fingerprint{value[0].get<std::uint64_t>()};
    notice.state = decodeCrashState(value[2]);
    for (const Json &crash : value[1]) {
        if (!crash.is_number_unsigned())
            return std::nullopt;
        notice.crashes.push_back(crash.get<std::uint64_t>());
    }
    return notice;
}

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

} // namespace arbutuspier
