// Strong identifiers. Each names one kind of thing, so that ids of two kinds never mix.
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

/// A caller's request; unique over all VMs and restarts.
using RequestId = Id<struct RequestTag>;
/// One send of a request to one upstream; unique over all VMs and restarts.
using AttemptId = Id<struct AttemptTag>;
/// Memory held on an upstream on behalf of one VM.
using ReservationId = Id<struct ReservationTag>;
/// One transaction or read at the platform's table service.
using TableOpId = Id<struct TableOpTag>;
/// An entry VM, by its number in the settings.
using VmId = Id<struct VmTag>;
/// An upstream, by its number in the settings.
using UpstreamId = Id<struct UpstreamTag>;
/// One life of a process; a restart has a new one.
using Incarnation = Id<struct IncarnationTag>;
/// A digest of a request's body.
using Fingerprint = Id<struct FingerprintTag>;

} // namespace arbutuspier

template <class Tag>
struct std::hash<arbutuspier::Id<Tag>>
{
    std::size_t operator()(const arbutuspier::Id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
