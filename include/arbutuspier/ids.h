// Strongly typed identifiers: ids of different kinds are different types and can't be mixed up.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace arbutuspier {

/// A 64-bit identifier of the kind `Tag`. Zero means "none".
template <class Tag>
struct Id
{
    std::uint64_t value = 0;

    constexpr bool isValid() const { return value != 0; }
    friend constexpr auto operator<=>(const Id &, const Id &) = default;
};

/// A caller's request. Unique over all VMs and restarts.
using RequestId = Id<struct RequestTag>;
/// One attempt to run a request on one upstream. Unique over all VMs and restarts.
using AttemptId = Id<struct AttemptTag>;
/// A reservation of memory on an upstream, owned by one VM.
using ReservationId = Id<struct ReservationTag>;
/// One call to the platform's table service, a transaction or a read.
using TableOpId = Id<struct TableOpTag>;
/// A VM, by its number in the settings.
using VmId = Id<struct VmTag>;
/// An upstream, by its number in the settings.
using UpstreamId = Id<struct UpstreamTag>;
/// One run of a process from its start to its end. A restarted process has a new incarnation.
using Incarnation = Id<struct IncarnationTag>;
/// A digest that identifies a request's content.
using Fingerprint = Id<struct FingerprintTag>;
/// A part of a prompt, which several requests may share.
using PromptPartId = Id<struct PromptPartTag>;

} // namespace arbutuspier

template <class Tag>
struct std::hash<arbutuspier::Id<Tag>>
{
    std::size_t operator()(const arbutuspier::Id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
