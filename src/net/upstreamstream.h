// One attempt: sends the request to an upstream and reads its answer.
#pragma once

#include "arbutuspier/command.h"
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

    /// Runs the attempt to its end; reports it unless cancelled. `self` keeps it alive.
    Task<void> run(std::shared_ptr<UpstreamStream> self);
    /// Drops the connection; nothing more is reported.
    void cancel();

private:
    Task<bool> send();
    Task<void> readEvents();
    Task<void> readWhole();
    std::string header() const;
    void fail(FailureKind kind);

    std::shared_ptr<CallerSession> m_session;
    OpenStream m_open;
    Address m_address;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isCancelled = false;
};

} // namespace arbutuspier
