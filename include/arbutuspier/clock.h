// Time types and clocks: a monotonic clock for durations and a wall clock for dates.
#pragma once

#include <chrono>

namespace arbutuspier {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Tests pass in a clock that runs in virtual time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time; never goes back within one process.
    virtual TimePoint now() const = 0;
    /// Date and time; may jump. Used only for the age of idempotency keys.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock for tests that moves only by calls of `advance` and `advanceTo`.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return m_wallStart
            + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch());
    }
    void advance(Duration by) { m_now += by; }
    void advanceTo(TimePoint at) { m_now = at; }

private:
    TimePoint m_now{};
    WallTime m_wallStart = WallTime{std::chrono::seconds{1'700'000'000}};
};

/// Seconds as a floating-point number.
constexpr double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// A duration from floating-point seconds.
constexpr Duration fromSeconds(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

inline constexpr double kMillisecondsPerSecond = 1000.0;

/// Milliseconds as a floating-point number.
constexpr double toMilliseconds(Duration d)
{
    return toSeconds(d) * kMillisecondsPerSecond;
}

/// A duration from floating-point milliseconds.
constexpr Duration fromMilliseconds(double ms)
{
    return fromSeconds(ms / kMillisecondsPerSecond);
}

} // namespace arbutuspier
