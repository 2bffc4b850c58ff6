/// The gateway program: command line, configuration, signals and exit codes.
///
/// Exit codes: 0 success or requested shutdown; 1 failure at run time, or views that differ for the command
/// `fleet`; 2 invalid arguments or configuration.
/// The platform starts the program without arguments, which runs the command `serve`.
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
#include "gateway/event_loop.hpp"
#include "gateway/gateway.hpp"
#include "gateway/ops_client.hpp"
#include "gateway/process_memory.hpp"

namespace {

using namespace hollyrun::gateway;

constexpr int kExitFailure = 1;
constexpr int kExitInvalidInput = 2;

void logWarnings(const Config& config, Log& log) {
  for (const std::string& warning : config.warnings)
    log.write(LogLevel::warning, "configuration", warning);
}

// An invalid file must not end a running gateway: the gateway keeps the settings in effect.
void reload(Gateway& gateway, Config& running, const Environment& environment, Log& log) {
  try {
    Config config = readConfig(environment, &running);
    gateway.reload(config);
    running = std::move(config);
    log.applySettings(running.log);
    logWarnings(running, log);
    log.write(LogLevel::info, "configuration", "configuration reloaded");
  } catch (const std::exception& error) {  // ConfigError, or an error of the operating system
    gateway.reloadFailed();
    log.write(LogLevel::error, "configuration", std::string("configuration not reloaded: ") + error.what());
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
  // Registered before the configuration is read, because an unhandled signal would end the process. A signal
  // that arrives before the gateway is created stays pending until io.run().
  boost::asio::signal_set hangups(io, SIGHUP), stops(io, SIGTERM, SIGINT);
  Config config = readConfig(environment);
  Log log(config.name, config.log);
  logWarnings(config, log);
  Gateway::Options options;
  options.abortOnViolation = environment("HOLLYRUN_ABORT_ON_VIOLATION") != nullptr;  // set by soak tests
  const ProcessMemory processMemory;
  options.process = {.residentMemory = [&] { return processMemory.resident(); }, .trimHeap = trimHeap};
  Gateway gateway(io, config, options, log);
  reloadOnHangup(hangups, gateway, config, environment, log);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec)
      gateway.shutDown([&] { io.stop(); });
  });
  runEventLoop(io, options.abortOnViolation ? ExceptionPolicy::abort : ExceptionPolicy::log, log);
  return 0;
}

/// Reads the file that --config or GW_CONFIG names and prints its warnings and errors. Returns whether there
/// are no errors.
bool readAndReport(const Environment& environment, ParsedConfigFile& file) {
  const char* path = environment("GW_CONFIG");
  if (!path)
    throw ConfigError(ConfigErrorCode::missingKey, "GW_CONFIG",
                      "GW_CONFIG is not set and --config is not given");
  file = readConfigFile(path);
  for (const auto& [key, variable] :
       {std::pair("listen", "GW_LISTEN"), std::pair("discovery", "GW_DISCOVERY")})
    if (file.errors.empty() && !environment(variable) && !file.json.contains(key))
      file.errors.push_back(
          {path, key, "required key is missing, and " + std::string(variable) + " is not set"});
  if (file.errors.empty())
    try {
      parseConfig(file.json, environment);
    } catch (const ConfigError& error) {
      file.errors.push_back({path, "configuration", error.what()});
    }
  for (const Diagnostic& warning : file.warnings)
    std::cerr << "warning: " << warning.text() << '\n';
  for (const Diagnostic& error : file.errors)
    std::cerr << error.text() << '\n';
  return file.errors.empty();
}

int checkConfig(const Environment& environment) {
  ParsedConfigFile file;
  if (!readAndReport(environment, file))
    return kExitInvalidInput;
  std::cout << environment("GW_CONFIG") << ": valid\n";
  return 0;
}

int showConfig(const Environment& environment) {
  ParsedConfigFile file;
  if (!readAndReport(environment, file))
    return kExitInvalidInput;
  std::cout << tomlText(effectiveSettings(parseConfig(file.json, environment), file, environment));
  return 0;
}

// Management addresses given to the command `fleet`.
std::vector<std::string> managementAddresses;

int showFleet(const Environment&) {
  const FleetReport report = queryFleet(managementAddresses);
  std::cout << report.text;
  return report.consistent ? 0 : kExitFailure;
}

int showVersion(const Environment&) {
  std::cout << "hollyrun " HOLLYRUN_VERSION "\n";
  return 0;
}

using Command = int (*)(const Environment&);

/// The parsed command line: the command, and values that override environment variables.
struct CommandLine {
  Command command = serve;
  std::map<std::string, std::string> overrides;  // by variable
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
      "The default command is serve. Exit codes: 0 success, 1 failure at run time, 2 invalid arguments or\n"
      "configuration. The configuration file may be TOML (see deploy/hollyrun.toml) or the platform's JSON.");
  addConfigOptions(*addCommand(app, line, "serve",
                               "serve requests until SIGTERM; SIGHUP reloads the configuration file", serve),
                   line);
  addConfigOptions(
      *addCommand(app, line, "check", "report every error of the configuration with file, line and key",
                  checkConfig),
      line);
  addConfigOptions(*addCommand(app, line, "show",
                               "print the effective settings as TOML with the source of each", showConfig),
                   line);
  addCommand(app, line, "fleet",
             "show the fleet members as each gateway sees them; exits with 1 if the views differ", showFleet)
      ->add_option("address", managementAddresses, "management address, host:port")
      ->required();
  addCommand(app, line, "version", "print the version", showVersion);
}

/// Runs the command, `serve` by default. Precedence of settings: command line, environment, file.
int run(int argc, char** argv) {
  CommandLine line;
  if (argc > 1) {
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
  configureAllocator();
  std::signal(SIGPIPE, SIG_IGN);  // writing to a disconnected peer returns an error instead
  std::signal(SIGHUP, SIG_IGN);   // until the handler is registered, which precedes reading the configuration
  try {
    return run(argc, argv);
  } catch (const ConfigError& error) {
    std::cerr << "hollyrun: " << error.what() << '\n';
    return kExitInvalidInput;
  } catch (const std::exception& error) {
    std::cerr << "hollyrun: " << error.what() << '\n';
    return kExitFailure;
  }
}
