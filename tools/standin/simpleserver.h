// A small HTTP server on one thread, for the stand-ins.
#pragma once

#include "net/asiotypes.h"
#include "settings/settings.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>
#include <vector>

namespace arbutuspier::standin {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// Answers one request; returns false if the connection is to be closed.
using Handler = std::function<Task<bool>(beast::tcp_stream &, Request)>;

/// Accepts connections until the process ends. False if the address can't be had.
bool serve(asio::io_context &context, const Address &address, Handler handler);

/// Writes a whole answer.
Task<bool> reply(beast::tcp_stream &stream, const Request &request, int status, std::string body,
                 std::vector<std::pair<std::string, std::string>> headers = {});

/// The number after a path prefix or a query key; zero if there is none.
std::uint64_t numberAfter(std::string_view text, std::string_view prefix);

} // namespace arbutuspier::standin
