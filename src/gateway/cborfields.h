// CBOR encoding of what peer datagrams and snapshots share: arrays with fields by position.
#pragma once

#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutuspier {

using Json = nlohmann::json;

/// Decoding rejects longer lists: no VM sends any.
inline constexpr std::size_t kMaxListItems = 16'384;

/// Returns a discarded value if the bytes are not valid CBOR.
Json parseCbor(std::string_view bytes);

std::string toCbor(const Json &document);

/// Whether the document is an array that begins with the name and version of a format and has at
/// least `minFields` fields.
bool isFormat(const Json &document, const char *format, std::uint64_t version,
              std::size_t minFields);

/// Parses a document of the format. Returns a discarded value if the bytes are none. Documents of
/// other named formats are recognised by their first bytes, without being parsed.
Json parseFormat(std::string_view bytes, const char *format, std::uint64_t version,
                 std::size_t minFields);

/// A document of the format whose only field is a byte string.
std::string encodeByteString(const char *format, std::uint64_t version, std::string_view bytes);
std::optional<std::string> decodeByteString(std::string_view document, const char *format,
                                            std::uint64_t version);

/// Whether the bytes begin an array whose first element is a short string, as do formats that name
/// themselves.
bool isNamedFormat(std::string_view bytes);

inline bool isArray(const Json &value, std::size_t size)
{
    return value.is_array() && value.size() == size;
}

Json encodeReplica(const ReplicaEntry &replica);
std::optional<ReplicaEntry> decodeReplica(const Json &value);
Json encodeDeparture(const Departure &departure);
std::optional<Departure> decodeDeparture(const Json &value);
Json encodeSuspectNotice(const SuspectNotice &notice);
std::optional<SuspectNotice> decodeSuspectNotice(const Json &value);

template <class T, class Encode>
Json encodeList(const std::vector<T> &list, Encode encode)
{
    Json items = Json::array();
    for (const T &item : list)
        items.push_back(encode(item));
    return items;
}

/// Decodes each item of a list into `out`; null counts as an empty list. Returns false if the list
/// is too long or an item is invalid.
template <class T, class Decode>
bool decodeList(const Json &list, std::vector<T> &out, Decode decode)
{
    if (list.is_null())
        return true;
    if (!list.is_array() || list.size() > kMaxListItems)
        return false;
    for (const Json &item : list) {
        auto value = decode(item);
        if (!value)
            return false;
        out.push_back(std::move(*value));
    }
    return true;
}

} // namespace arbutuspier
