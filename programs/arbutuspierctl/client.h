// Calls one entry VM's admin door and waits for the answer.
#pragma once

#include "net/httpchannel.h"

#include <memory>
#include <string>

namespace arbutuspier::ctl {

class Client
{
public:
    /// Empty if the address is no IP:port.
    static std::unique_ptr<Client> make(const std::string &address, const std::string &token);

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
