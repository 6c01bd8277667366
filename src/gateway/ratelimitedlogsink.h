// Log lines on standard output that never hold the process up: what a full pipe or a burst does not
// take is dropped and counted.
#pragma once

#include "arbutuspier/clock.h"

#include <glog/logging.h>

#include <cstdint>
#include <string>

namespace arbutuspier {

struct RateLimitedLogOptions
{
    /// Lines a second beyond which lines are dropped, and lines that may come in a burst.
    double linesPerSecond = 400;
    double burstLines = 800;
};

/// Receives what glog logs. Writes a line in one call, so that lines never mix.
class RateLimitedLogSink final : public google::LogSink
{
public:
    RateLimitedLogSink(int descriptor, RateLimitedLogOptions options, const Clock &clock);

    void send(google::LogSeverity severity, const char *fullFileName, const char *baseFileName,
              int line, const google::LogMessageTime &time, const char *message,
              std::size_t size) override;

    std::uint64_t droppedLines() const { return m_dropped; }

private:
    bool takeToken();
    bool write(const std::string &line);

    int m_descriptor;
    RateLimitedLogOptions m_options;
    const Clock &m_clock;
    TimePoint m_refilledAt;
    double m_tokens;
    std::uint64_t m_dropped = 0;
    /// Dropped lines that a line in the log has told of.
    std::uint64_t m_reported = 0;
};

} // namespace arbutuspier
