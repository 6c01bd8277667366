// A small single-threaded HTTP server on which the simulators are built.
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

/// Responds to one request. Returns false if the server must close the connection.
using Handler = std::function<Task<bool>(beast::tcp_stream &, Request)>;

/// Listens and serves connections until the process ends. Prints the error and returns false if it
/// can't listen on the address.
bool serve(asio::io_context &context, const Address &address, Handler handler);

/// Writes a complete response with a JSON body. Returns whether the connection stays open.
Task<bool> reply(beast::tcp_stream &stream, const Request &request, int status, std::string body,
                 std::vector<std::pair<std::string, std::string>> headers = {});

/// Returns the decimal number after the first occurrence of `prefix`, such as a path or `key=`, or
/// zero if there is none.
std::uint64_t numberAfter(std::string_view text, std::string_view prefix);

} // namespace arbutuspier::standin
