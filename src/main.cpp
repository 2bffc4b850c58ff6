// The gateway as a program: configuration, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include "net/config.hpp"
#include "net/gateway.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

const char* variable(const char* name) { return std::getenv(name); }

// Once running, the file goes before the variable: that still names where discovery was at the start.
const char* reloadedVariable(const char* name) {
  return std::string_view(name) == "GW_DISCOVERY" ? nullptr : variable(name);
}

// Danger: a file that is no good must not end a gateway that serves; it goes on with what it has.
void reload(cairnjunction::Gateway& gateway, cairnjunction::Config& running) {
  try {
    cairnjunction::Config config = cairnjunction::readConfig(reloadedVariable, &running);
    gateway.reload(config);
    running = std::move(config);
    std::cerr << "configuration reloaded\n";
  } catch (const cairnjunction::BadConfig& bad) {
    gateway.reloadFailed();
    std::cerr << "configuration not reloaded: " << bad.what() << '\n';
  }
}

void reloadAtEach(boost::asio::signal_set& hangups, cairnjunction::Gateway& gateway,
                  cairnjunction::Config& running) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    reload(gateway, running);
    reloadAtEach(hangups, gateway, running);
  });
}

int serve(cairnjunction::Config config) {
  boost::asio::io_context io(1);
  boost::asio::signal_set hangups(io, SIGHUP), stops(io, SIGTERM, SIGINT);
  cairnjunction::Gateway gateway(io, config, {}, [](const std::string& line) { std::cerr << line << '\n'; });
  reloadAtEach(hangups, gateway, config);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) gateway.drain([&] { io.stop(); });
  });
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  try {
    return serve(cairnjunction::readConfig(variable));
  } catch (const cairnjunction::BadConfig& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kFailed;
  }
}
