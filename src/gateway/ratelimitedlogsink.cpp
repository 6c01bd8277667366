// A token bucket limits the rate of lines. Warnings and errors are written even if it is empty.
#include "gateway/ratelimitedlogsink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace arbutuspier {

RateLimitedLogSink::RateLimitedLogSink(int descriptor, RateLimitedLogOptions options,
                                       const Clock &clock)
    : m_descriptor(descriptor)
    , m_options(options)
    , m_clock(clock)
    , m_refilledAt(clock.now())
    , m_availableLines(options.burstLines)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool RateLimitedLogSink::tryTakeLine()
{
    const TimePoint now = m_clock.now();
    m_availableLines += toSeconds(now - m_refilledAt) * m_options.linesPerSecond;
    m_availableLines = std::min(m_availableLines, m_options.burstLines);
    m_refilledAt = now;
    if (m_availableLines < 1)
        return false;
    m_availableLines -= 1;
    return true;
}

bool RateLimitedLogSink::write(const std::string &line)
{
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void RateLimitedLogSink::send(google::LogSeverity severity, const char * /*fullFileName*/,
                              const char * /*baseFileName*/, int /*line*/,
                              const google::LogMessageTime & /*time*/, const char *message,
                              std::size_t size)
{
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch());
    std::string line = "ts=" + std::to_string(wall.count())
        + " level=" + google::GetLogSeverityName(severity) + ' ';
    line.append(message, size);
    line += '\n';
    const bool isUrgent = severity >= google::GLOG_WARNING;
    if (!tryTakeLine() && !isUrgent) {
        ++m_dropped;
        return;
    }
    if (!write(line)) {
        ++m_dropped;
        return;
    }
    if (m_dropped == m_reportedDrops)
        return;
    const std::uint64_t unreported = m_dropped - m_reportedDrops;
    if (write("event=log_lines_dropped count=" + std::to_string(unreported) + '\n'))
        m_reportedDrops = m_dropped;
}

} // namespace arbutuspier
