// Log sink that never blocks the process: lines above the rate limit, and lines for which the pipe
// has no room, are dropped and counted.
#pragma once

#include "arbutuspier/clock.h"

#include <glog/logging.h>

#include <cstdint>
#include <string>

namespace arbutuspier {

struct RateLimitedLogOptions
{
    /// Sustained rate above which lines are dropped.
    double linesPerSecond = 400;
    /// Lines that may be written at once.
    double burstLines = 800;
};

/// Receives the messages of glog. Each line is written in one call, so that lines don't interleave.
class RateLimitedLogSink final : public google::LogSink
{
public:
    /// Sets `descriptor` to non-blocking mode.
    RateLimitedLogSink(int descriptor, RateLimitedLogOptions options, const Clock &clock);

    void send(google::LogSeverity severity, const char *fullFileName, const char *baseFileName,
              int line, const google::LogMessageTime &time, const char *message,
              std::size_t size) override;

    std::uint64_t droppedLines() const { return m_dropped; }

private:
    bool tryTakeLine();
    bool write(const std::string &line);

    int m_descriptor;
    RateLimitedLogOptions m_options;
    const Clock &m_clock;
    TimePoint m_refilledAt;
    double m_availableLines;
    std::uint64_t m_dropped = 0;
    /// How many of the dropped lines a "log_lines_dropped" line has reported.
    std::uint64_t m_reportedDrops = 0;
};

} // namespace arbutuspier
