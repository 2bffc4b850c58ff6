// The gateway as a program: command line, configuration, signals, exit codes.
//
// Exit codes: 0 ended as told, or all is well; 1 failed while it ran; 2 the arguments or the configuration
// are no good. Without arguments it serves, as the platform starts it.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/config.hpp"
#include "gateway/gateway.hpp"
#include "gateway/keys.hpp"
#include "gateway/ops_client.hpp"

namespace {

using namespace hollyrun::gateway;

constexpr int kFailed = 1, kWrong = 2;

void warn(const Config& config, Log& log) {
  for (const std::string& warning : config.warnings)
    log.write(LogLevel::warning, "configuration", warning);
}

// Danger: a file that is no good must not end a gateway that serves; it goes on with what it has.
void reload(Gateway& gateway, Config& running, const Environment& environment, Log& log) {
  try {
    Config config = readConfig(environment, &running);
    gateway.reload(config);
    running = std::move(config);
    log.set(running.log);
    warn(running, log);
    log.write(LogLevel::info, "configuration", "configuration reloaded");
  } catch (const std::exception& bad) {  // BadConfig, or what the system refuses
    gateway.reloadFailed();
    log.write(LogLevel::error, "configuration", std::string("configuration not reloaded: ") + bad.what());
  }
}

void reloadAtEach(boost::asio::signal_set& hangups, Gateway& gateway, Config& running,
                  const Environment& environment, Log& log) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec)
      return;
    reload(gateway, running, environment, log);
    reloadAtEach(hangups, gateway, running, environment, log);
  });
}

int serve(const Environment& environment) {
  boost::asio::io_context io(1);
  // Danger: the configuration takes its time to read, and a signal that comes meanwhile would end the
  // process. It is kept until the gateway is there, which then acts on it.
  boost::asio::signal_set hangups(io, SIGHUP), stops(io, SIGTERM, SIGINT);
  Config config = readConfig(environment);
  Log log(config.name, config.log);
  warn(config, log);
  Gateway::Options options;
  options.abortOnViolation = environment("HOLLYRUN_ABORT_ON_VIOLATION") != nullptr;  // for soaks
  Gateway gateway(io, config, options, log);
  reloadAtEach(hangups, gateway, config, environment, log);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec)
      gateway.shutDown([&] { io.stop(); });
  });
  io.run();
  return 0;
}

// Prints what is wrong with the file, all of it; the file as read, if nothing is.
bool good(const Environment& environment, ReadFile& file) {
  const char* path = environment("GW_CONFIG");
  if (!path)
    throw BadConfig("no file: name one with --config or GW_CONFIG");
  file = readFile(path);
  for (const auto& [key, variable] :
       {std::pair("listen", "GW_LISTEN"), std::pair("discovery", "GW_DISCOVERY")})
    if (file.faults.empty() && !environment(variable) && !file.json.contains(key))
      file.faults.push_back({path, key, "is missing, and " + std::string(variable) + " is not set"});
  if (file.faults.empty())
    try {
      parseConfig(file.json, environment);
    } catch (const BadConfig& bad) {
      file.faults.push_back({path, "configuration", bad.what()});
    }
  for (const Remark& warning : file.warnings)
    std::cerr << "warning: " << warning.text() << '\n';
  for (const Remark& fault : file.faults)
    std::cerr << fault.text() << '\n';
  return file.faults.empty();
}

int check(const Environment& environment) {
  ReadFile file;
  if (!good(environment, file))
    return kWrong;
  std::cout << environment("GW_CONFIG") << ": good\n";
  return 0;
}

int showAll(const Environment& environment) {
  ReadFile file;
  if (!good(environment, file))
    return kWrong;
  std::cout << textOf(show(parseConfig(file.json, environment), file, environment));
  return 0;
}

// Of the command line, for commands that ask running gateways.
std::vector<std::string> addresses;

int fleet(const Environment&) {
  bool agree = true;
  std::cout << fleetTable(addresses, agree);
  return agree ? 0 : kFailed;
}

int version(const Environment&) {
  std::cout << "hollyrun " HOLLYRUN_VERSION "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  std::signal(SIGHUP, SIG_IGN);   // until there is a handler: what the file says is still to be read
  // What the command line says goes before the variables, and they before the file.
  std::map<std::string, std::string> told;
  const Environment environment = [&](const char* name) -> const char* {
    const auto it = told.find(name);
    return it != told.end() ? it->second.c_str() : std::getenv(name);
  };
  int (*command)(const Environment&) = serve;
  try {
    if (argc > 1) {  // the platform starts it without arguments
      CLI::App app{"hollyrun: the HTTP/1.1 gateway of the record platform"};
      app.require_subcommand(0, 1);
      app.footer(
          "Without a command it serves. Exit codes: 0 well, 1 failed while it ran, 2 wrong arguments or\n"
          "configuration. The file may be TOML (see deploy/hollyrun.toml) or the platform's JSON.");
      const auto add = [&](const char* name, const char* what, int (*f)(const Environment&)) {
        CLI::App* sub = app.add_subcommand(name, what);
        sub->callback([&command, f] { command = f; });
        if (f == version)
          return;
        if (f == fleet) {
          sub->add_option("address", addresses, "management address, host:port")->required();
          return;
        }
        const std::pair<const char*, const char*> options[] = {{"GW_CONFIG", "--config"},
                                                               {"GW_NAME", "--name"},
                                                               {"GW_LISTEN", "--listen"},
                                                               {"GW_DISCOVERY", "--discovery"},
                                                               {"GW_MANAGEMENT", "--management"}};
        for (const auto& [variable, option] : options)
          sub->add_option_function<std::string>(
              option, [&told, key = std::string(variable)](const std::string& value) { told[key] = value; },
              std::string("goes before ") + variable);
      };
      add("serve", "serve until SIGTERM; SIGHUP reads the file again", serve);
      add("check", "name every fault of the configuration, with file, line and key", check);
      add("show", "print the settings in effect as TOML, and where each came from", showAll);
      add("fleet", "show the members that gateways see; ends with 1 where their views differ", fleet);
      add("version", "print the version", version);
      try {
        app.parse(argc, argv);
      } catch (const CLI::ParseError& bad) {
        return app.exit(bad) == 0 ? 0 : kWrong;
      }
    }
    if (command != serve)
      std::signal(SIGHUP, SIG_DFL);
    return command(environment);
  } catch (const BadConfig& bad) {
    std::cerr << "hollyrun: " << bad.what() << '\n';
    return kWrong;
  } catch (const std::exception& bad) {
    std::cerr << "hollyrun: " << bad.what() << '\n';
    return kFailed;
  }
}
