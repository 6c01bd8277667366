// Blocking HTTP client for the admin server of one entry VM.
#pragma once

#include "net/httpchannel.h"

#include <memory>
#include <string>

namespace arbutuspier::ctl {

class Client
{
public:
    /// Returns null if `address` isn't of the form IP:port.
    static std::unique_ptr<Client> make(const std::string &address, const std::string &token);

    /// Each call blocks until it has a response or has timed out; the outcome in the reply says
    /// which.
    HttpReply get(const std::string &path);
    HttpReply post(const std::string &path, const std::string &body);
    HttpReply erase(const std::string &path);

private:
    Client(Address address, std::string token);
    HttpReply call(boost::beast::http::verb method, const std::string &path,
                   const std::string &body);

    Address m_address;
    std::string m_token;
};

} // namespace arbutuspier::ctl
