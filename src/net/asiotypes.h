// Short names for the Asio and Beast types that the network code uses.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace arbutuspier {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

template <class T>
using Task = asio::awaitable<T>;

/// Completion token: awaits and returns (error, results...) without exceptions.
inline constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace arbutuspier
