/// The gateway as a program: command line, configuration, signals, exit codes.
///
/// Exit codes: 0 shut down as requested, or the check passed; 1 failed while it ran; 2 invalid arguments or
/// configuration. Without arguments it serves, as the platform starts it.
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
#include "gateway/config_printer.hpp"
#include "gateway/gateway.hpp"
#include "gateway/ops_client.hpp"

namespace {

using namespace hollyrun::gateway;

constexpr int kExitFailure = 1;
constexpr int kExitInvalidInput = 2;

void logWarnings(const Config& config, Log& log) {
  for (const std::string& warning : config.warnings)
    log.write(LogLevel::warning, "configuration", warning);
}

// An invalid file must not end a gateway that serves; it continues with the settings in effect.
void reload(Gateway& gateway, Config& running, const Environment& environment, Log& log) {
  try {
    Config config = readConfig(environment, &running);
    gateway.reload(config);
    running = std::move(config);
    log.applySettings(running.log);
    logWarnings(running, log);
    log.write(LogLevel::info, "configuration", "configuration reloaded");
  } catch (const std::exception& bad) {  // ConfigError, or what the system refuses
    gateway.reloadFailed();
    log.write(LogLevel::error, "configuration", std::string("configuration not reloaded: ") + bad.what());
  }
}

void reloadOnHangup(boost::asio::signal_set& hangups, Gateway& gateway, Config& running,
                    const Environment& environment, Log& log) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec)
      return;
    reload(gateway, running, environment, log);
    reloadOnHangup(hangups, gateway, running, environment, log);
  });
}

int serve(const Environment& environment) {
  boost::asio::io_context io(1);
  // Registered before the configuration is read: a signal during that time would end the process. It stays
  // pending until the gateway exists and handles it.
  boost::asio::signal_set hangups(io, SIGHUP), stops(io, SIGTERM, SIGINT);
  Config config = readConfig(environment);
  Log log(config.name, config.log);
  logWarnings(config, log);
  Gateway::Options options;
  options.abortOnViolation = environment("HOLLYRUN_ABORT_ON_VIOLATION") != nullptr;  // for soaks
  Gateway gateway(io, config, options, log);
  reloadOnHangup(hangups, gateway, config, environment, log);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec)
      gateway.shutDown([&] { io.stop(); });
  });
  io.run();
  return 0;
}

/// Reads the file that GW_CONFIG names and prints its warnings and errors. Whether there are no errors.
bool readAndReport(const Environment& environment, ParsedConfigFile& file) {
  const char* path = environment("GW_CONFIG");
  if (!path)
    throw ConfigError(ConfigErrorCode::missingKey, "GW_CONFIG",
                      "no file: name one with --config or GW_CONFIG");
  file = readConfigFile(path);
  for (const auto& [key, variable] :
       {std::pair("listen", "GW_LISTEN"), std::pair("discovery", "GW_DISCOVERY")})
    if (file.errors.empty() && !environment(variable) && !file.json.contains(key))
      file.errors.push_back({path, key, "is missing, and " + std::string(variable) + " is not set"});
  if (file.errors.empty())
    try {
      parseConfig(file.json, environment);
    } catch (const ConfigError& bad) {
      file.errors.push_back({path, "configuration", bad.what()});
    }
  for (const Diagnostic& warning : file.warnings)
    std::cerr << "warning: " << warning.text() << '\n';
  for (const Diagnostic& fault : file.errors)
    std::cerr << fault.text() << '\n';
  return file.errors.empty();
}

int checkConfig(const Environment& environment) {
  ParsedConfigFile file;
  if (!readAndReport(environment, file))
    return kExitInvalidInput;
  std::cout << environment("GW_CONFIG") << ": good\n";
  return 0;
}

int showConfig(const Environment& environment) {
  ParsedConfigFile file;
  if (!readAndReport(environment, file))
    return kExitInvalidInput;
  std::cout << tomlText(effectiveSettings(parseConfig(file.json, environment), file, environment));
  return 0;
}

// Arguments of commands that query running gateways.
std::vector<std::string> addresses;

int showFleet(const Environment&) {
  const FleetReport report = queryFleet(addresses);
  std::cout << report.text;
  return report.consistent ? 0 : kExitFailure;
}

int showVersion(const Environment&) {
  std::cout << "hollyrun " HOLLYRUN_VERSION "\n";
  return 0;
}

using Command = int (*)(const Environment&);

/// What the command line says: the command, and values that override variables of the environment.
struct CommandLine {
  Command command = serve;
  std::map<std::string, std::string> overrides;
};

void addConfigOptions(CLI::App& subcommand, CommandLine& line) {
  const std::pair<const char*, const char*> options[] = {{"GW_CONFIG", "--config"},
                                                         {"GW_NAME", "--name"},
                                                         {"GW_LISTEN", "--listen"},
                                                         {"GW_DISCOVERY", "--discovery"},
                                                         {"GW_MANAGEMENT", "--management"}};
  for (const auto& [variable, option] : options)
    subcommand.add_option_function<std::string>(
        option,
        [&line, key = std::string(variable)](const std::string& value) { line.overrides[key] = value; },
        std::string("overrides ") + variable);
}

CLI::App* addCommand(CLI::App& app, CommandLine& line, const char* name, const char* description,
                     Command command) {
  CLI::App* subcommand = app.add_subcommand(name, description);
  subcommand->callback([&line, command] { line.command = command; });
  return subcommand;
}

void addCommands(CLI::App& app, CommandLine& line) {
  app.require_subcommand(0, 1);
  app.footer(
      "Without a command it serves. Exit codes: 0 success, 1 failed while it ran, 2 invalid arguments or\n"
      "configuration. The file may be TOML (see deploy/hollyrun.toml) or the platform's JSON.");
  addConfigOptions(*addCommand(app, line, "serve", "serve until SIGTERM; SIGHUP reads the file again", serve),
                   line);
  addConfigOptions(*addCommand(app, line, "check",
                               "name every error of the configuration, with file, line and key", checkConfig),
                   line);
  addConfigOptions(*addCommand(app, line, "show",
                               "print the settings in effect as TOML, and where each came from", showConfig),
                   line);
  addCommand(app, line, "fleet", "show the members that gateways see; ends with 1 where their views differ",
             showFleet)
      ->add_option("address", addresses, "management address, host:port")
      ->required();
  addCommand(app, line, "version", "print the version", showVersion);
}

/// Runs the command, and serves if there is none. Precedence: command line, environment, file.
int run(int argc, char** argv) {
  CommandLine line;
  if (argc > 1) {  // the platform starts it without arguments
    CLI::App app{"hollyrun: the HTTP/1.1 gateway of the record platform"};
    addCommands(app, line);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      return app.exit(error) == 0 ? 0 : kExitInvalidInput;
    }
  }
  if (line.command != serve)
    std::signal(SIGHUP, SIG_DFL);
  return line.command([&line](const char* name) -> const char* {
    const auto it = line.overrides.find(name);
    return it != line.overrides.end() ? it->second.c_str() : std::getenv(name);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // a disconnected peer shows as an error of the write
  std::signal(SIGHUP, SIG_IGN);   // until there is a handler: the configuration is still to be read then
  try {
    return run(argc, argv);
  } catch (const ConfigError& bad) {
    std::cerr << "hollyrun: " << bad.what() << '\n';
    return kExitInvalidInput;
  } catch (const std::exception& bad) {
    std::cerr << "hollyrun: " << bad.what() << '\n';
    return kExitFailure;
  }
}
