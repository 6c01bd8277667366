// One attempt: sends the request to an upstream and reads the response.
#pragma once

#include "arbutuspier/command.h"
#include "arbutuspier/event.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>

namespace arbutuspier {

class CallerSession;

class UpstreamStream
{
public:
    UpstreamStream(std::shared_ptr<CallerSession> session, OpenStream open, Address address);

    /// Runs the attempt and posts how it ended, unless it was cancelled. `self` keeps this object
    /// alive until then.
    Task<void> run(std::shared_ptr<UpstreamStream> self);
    /// Resets the connection; no more events are posted.
    void cancel();

private:
    Task<bool> sendRequest();
    Task<void> readEvents();
    Task<void> readWholeResponse();
    std::string requestHeader() const;
    void fail(FailureKind kind);
    void complete(StreamDone done);

    std::shared_ptr<CallerSession> m_session;
    OpenStream m_open;
    Address m_address;
    beast::tcp_stream m_stream;
    /// Bounds the head of a response and of each of its chunks.
    static constexpr std::size_t kMaxBufferBytes = 128 * 1024;
    beast::flat_buffer m_buffer{kMaxBufferBytes};
    /// True after cancel(), and once the end of the attempt was posted.
    bool m_isFinished = false;
};

} // namespace arbutuspier
