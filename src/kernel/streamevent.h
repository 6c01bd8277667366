// The fields of one server-sent event.
//
// A faulty upstream may corrupt any byte of an event. If the byte stands in a line's name or at its
// end, the event gets a line that no sound event has: an unknown field or a comment among its
// fields, or a second id. A corrupt byte within the value of a data field can't be noticed.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct StreamEvent
{
    /// Number in the `id` field, if there is one.
    std::optional<std::uint64_t> id;
    /// Values of the `data` fields. Clients dispatch no event without one.
    std::vector<std::string_view> data;
    /// A well-formed event has at most one `id`, which is a number, and has data if it has an id.
    /// Comments and fields that the standard doesn't name may precede its fields, but not follow
    /// them.
    bool isWellFormed = true;

    /// Neither an id nor data, as in a comment that keeps the connection alive.
    bool isEmpty() const { return !id && data.empty(); }
};

/// Reads the lines of one event; they end with LF, or with CR and LF. The views point into `text`.
StreamEvent readStreamEvent(std::string_view text);

} // namespace arbutuspier
