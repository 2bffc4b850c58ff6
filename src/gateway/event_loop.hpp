/// Runs the event loop of the process.
#pragma once

#include <boost/asio/io_context.hpp>

#include "gateway/log.hpp"

namespace hollyrun::gateway {

enum class ExceptionPolicy { log, abort };

/// Runs until the loop is stopped or has nothing left to do. An exception in a handler ends that handler, not
/// the requests of all other clients.
void runEventLoop(boost::asio::io_context& io, ExceptionPolicy policy, Log& log);

}  // namespace hollyrun::gateway
