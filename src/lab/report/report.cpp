#include "lab/report/report.hpp"

#include <spdlog/fmt/fmt.h>
#include <stdlib.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

constexpr std::size_t kTimeTableRows = 14;  // the table over time has at most this many
constexpr double kSamplePeriodS = 0.25;

// Runs a gnuplot script in a temporary directory and returns the SVG.
std::string plot(const std::string& script) {
  std::string pattern = (std::filesystem::temp_directory_path() / "hollyrun-lab-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary directory for the plots at '" + pattern + "'");
  const std::filesystem::path directory = pattern;
  struct Cleaner {
    std::filesystem::path path;
    ~Cleaner() {
      std::error_code ignored;
      std::filesystem::remove_all(path, ignored);
    }
  } cleaner{directory};
  const std::filesystem::path file = directory / "plot.gp", svg = directory / "plot.svg";
  std::ofstream(file) << "set terminal svg size 960,320 dynamic font 'sans-serif,12' background '#ffffff'\n"
                      << "set output '" << svg.string() << "'\nset key outside right top\nset grid\n"
                      << "set xlabel 'seconds'\n"
                      << script;
  const std::string command = "gnuplot '" + file.string() + "' 2>'" + (directory / "errors").string() + "'";
  if (std::system(command.c_str()) != 0) {
    std::stringstream errors;
    errors << std::ifstream(directory / "errors").rdbuf();
    throw std::runtime_error("gnuplot failed: " + errors.str());
  }
  std::stringstream text;
  text << std::ifstream(svg).rdbuf();
  std::string all = text.str();
  const std::size_t begin = all.find("<svg");
  return begin == std::string::npos ? all : all.substr(begin);
}

std::string secondsData(const Result& result) {
  std::string data = "$s << EOD\n";
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const Second& second = result.seconds[i];
    const double offered = std::max(second.offeredValue, 1e-9);
    data += fmt::format("{} {:.4f} {:.4f} {} {} {} {} {} {} {} {:.2f} {:.2f} {:.2f} {}\n", i,
                        second.inTimeValue / offered, (second.inTimeValue + second.lateValue) / offered,
                        second.requests, second.rejected, second.failed, second.rejectedAttempts,
                        second.timeouts, second.connectFailed + second.resets, second.errors,
                        second.sheddingThreshold, second.p50, second.p99, second.attempts);
  }
  return data + "EOD\n";
}

std::string statesPlot(const Result& result) {
  static const char* const colours[] = {"#d9ead3", "#9fc5e8", "#cc0000", "#f6b26b",
                                        "#ffe599", "#666666", "#b4a7d6", "#eeeeee"};
  std::string script =
      fmt::format("set yrange [-1:{}]\nset ytics 1\nset ylabel 'server'\n", result.servers.size());
  if (result.servers.size() > 30)
    script += "set ytics 20\n";
  std::string plots;
  for (int state = 0; state < 8; ++state) {
    std::string data;
    for (std::size_t i = 0; i < result.servers.size(); ++i) {
      const auto& states = result.servers[i].states;
      for (std::size_t k = 0; k < states.size();) {  // runs of samples in the same state
        std::size_t end = k;
        while (end < states.size() && states[end] == states[k])
          ++end;
        if (static_cast<int>(states[k]) == state)
          data += fmt::format("{:.2f} {} {:.2f} 0\n", static_cast<double>(k) * kSamplePeriodS, i,
                              static_cast<double>(end - k) * kSamplePeriodS);
        k = end;
      }
    }
    if (data.empty())
      continue;
    script += fmt::format("$state{} << EOD\n{}EOD\n", state, data);
    plots += fmt::format("{}$state{} with vectors nohead lw {} lc rgb '{}' title '{}'",
                         plots.empty() ? "" : ", ", state, result.servers.size() > 30 ? 2 : 10,
                         colours[state], nameOf(static_cast<ServerState>(state)));
  }
  return script + "plot " + plots + "\n";
}

std::string inFlightPlot(const Result& result) {
  std::size_t samples = 0;
  for (const ServerRecord& server : result.servers)
    samples = std::max(samples, server.inFlight.size());
  std::string data = "$h << EOD\n";
  const bool plotEach = result.servers.size() <= 20;  // with more servers, quantiles are easier to read
  for (std::size_t k = 0; k < samples; ++k) {
    data += fmt::format("{:.2f}", static_cast<double>(k) * kSamplePeriodS);
    std::vector<double> inFlight;
    for (const ServerRecord& server : result.servers) {
      const double core = k < server.inFlight.size() ? server.inFlight[k] / server.cores : 0;
      if (plotEach)
        data += fmt::format(" {:.2f}", core);
      else if (k < server.states.size() && server.states[k] != ServerState::gone)
        inFlight.push_back(core);
    }
    if (!plotEach) {
      std::sort(inFlight.begin(), inFlight.end());
      for (double quantile : {0.5, 0.9, 1.0})
        data += fmt::format(
            " {:.2f}",
            inFlight.empty()
                ? 0.0
                : inFlight[static_cast<std::size_t>(quantile * static_cast<double>(inFlight.size() - 1))]);
    }
    data += "\n";
  }
  data += "EOD\nset ylabel 'requests in flight per core'\nplot ";
  if (!plotEach)
    return data +
           "$h using 1:2 with lines title 'median', '' using 1:3 with lines title '90 %', "
           "'' using 1:4 with lines title 'maximum'\n";
  for (std::size_t i = 0; i < result.servers.size(); ++i)
    data += fmt::format("{}{} using 1:{} with lines title '{} {}'", i == 0 ? "" : ", ", i == 0 ? "$h" : "''",
                        i + 2, i, result.servers[i].kind);
  return data + "\n";
}

std::string figuresOf(const Result& result) {
  const std::string data = secondsData(result);
  std::string html =
      "<h3>Goodput</h3>" + plot(data +
                                "set yrange [0:1.05]\nset ylabel 'share of the offered value'\n"
                                "plot $s using 1:2 with lines lw 2 title 'in time', '' using 1:3 with lines "
                                "title 'including late', "
                                "'' using 1:($11/100) with lines title 'shedding threshold / 100'\n");
  html += "<h3>Requests and rejections</h3>" +
          plot(data +
               "set ylabel 'per second'\n"
               "plot $s using 1:4 with lines title 'requests', '' using 1:14 with lines title 'attempts', "
               "'' using 1:5 with lines title 'rejected', '' using 1:6 with lines title 'failed'\n");
  html += "<h3>Unsuccessful attempts</h3>" +
          plot(data +
               "set ylabel 'per second'\n"
               "plot $s using 1:7 with lines title 'full', '' using 1:8 with lines title 'timed out', "
               "'' using 1:9 with lines title 'connect failed or reset', '' using 1:10 with lines title "
               "'error'\n");
  html += "<h3>Response time</h3>" +
          plot(data +
               "set logscale y\nset ylabel 'ms'\n"
               "plot $s using 1:12 with lines title 'median', '' using 1:13 with lines title '99 %'\n");
  if (result.servers.empty() || result.servers.front().inFlight.empty())
    return html;
  html += "<h3>Requests in flight by server</h3>" + plot(inFlightPlot(result));
  html += "<h3>State by server</h3>" + plot(statesPlot(result));
  return html;
}

}  // namespace

std::string lineOf(const Breach& breach) {
  return fmt::format("RULE {} at {:.3f} s: {}{}{}", nameOf(breach.rule), inSeconds(breach.at),
                     breach.request ? fmt::format("request {}, ", breach.request) : "",
                     breach.server.empty() ? "" : fmt::format("server {}: ", breach.server), breach.what);
}

std::string lineOf(const Result& result) {
  return fmt::format("{} {} {} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.1f} {:.1f} {:016x}",
                     result.scenario, result.policy, result.seed, result.score, result.goodput,
                     result.worstWindowGoodput, result.worstClassGoodput, result.rejectedShare,
                     result.failedShare, result.chokedShare, result.p50, result.p99, result.digest);
}

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '&')
      out += "&amp;";
    else if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else
      out += c;
  }
  return out;
}

std::string textOf(const Result& result) {
  std::string out = fmt::format("{}  policy {}  seed {}  calls {}  servers {}\n", result.scenario,
                                result.policy, result.seed, result.calls, result.servers.size());
  out += fmt::format("G {:.4f}   whole day {:.4f}   worst 10 s {:.4f} (from {:.0f} s)   worst class {:.4f}\n",
                     result.score, result.goodput, result.worstWindowGoodput, result.worstWindowStartS,
                     result.worstClassGoodput);
  out += fmt::format(
      "prices: cross zone {:.4f}, handshake {:.4f}, late fail {:.4f}, waste {:.4f}, choke {:.4f}\n",
      result.priceCrossZone, result.priceHandshake, result.priceLateFail, result.priceWaste,
      result.priceChoke);
  out += fmt::format(
      "calls rejected {:.2f} %, failed {:.2f} %; response time {:.1f} ms (median), {:.1f} ms (90 %), "
      "{:.1f} ms (99 %)\n",
      100 * result.rejectedShare, 100 * result.failedShare, result.p50, result.p90, result.p99);
  out += fmt::format("requests {}, attempts {}, connections {}, events {}, digest of the actions {:016x}\n",
                     result.requests, result.attempts, result.connections, result.events, result.digest);
  for (const ClassRecord& record : result.classes)
    out += fmt::format(
        "class {:<14} served {:.4f}  calls {:>6}  in time {:>6}  late {:>5}  refused {:>5}  failed {:>5}\n",
        record.name, record.offeredValue > 0 ? record.servedValue / record.offeredValue : 1, record.calls,
        record.inTime, record.late, record.rejected, record.failed);
  out +=
      "  from  calls in-time%  late% refused failed  tries attempts   full  t/o  conn reset  err cutoff    "
      "p50    p99\n";
  const std::size_t step =
      std::max<std::size_t>(1, (result.seconds.size() + kTimeTableRows - 1) / kTimeTableRows);
  for (std::size_t i = 0; i < result.seconds.size(); i += step) {
    Second total;
    std::size_t secondsWithP50 = 0;
    for (std::size_t j = i; j < std::min(i + step, result.seconds.size()); ++j) {
      const Second& second = result.seconds[j];
      total.offeredValue += second.offeredValue, total.inTimeValue += second.inTimeValue,
          total.lateValue += second.lateValue;
      total.calls += second.calls, total.requests += second.requests, total.rejected += second.rejected,
          total.failed += second.failed;
      total.attempts += second.attempts, total.rejectedAttempts += second.rejectedAttempts,
          total.timeouts += second.timeouts;
      total.connectFailed += second.connectFailed, total.resets += second.resets,
          total.errors += second.errors;
      total.sheddingThreshold = std::max(total.sheddingThreshold, second.sheddingThreshold);
      total.p99 = std::max(total.p99, second.p99);
      if (second.p50 > 0)
        total.p50 += second.p50, ++secondsWithP50;
    }
    out += fmt::format(
        "{:>6} {:>6} {:>8.1f} {:>6.1f} {:>7} {:>6} {:>6} {:>8} {:>6} {:>4} {:>5} {:>5} {:>4} {:>6.1f} "
        "{:>6.1f} {:>6.1f}\n",
        i, total.calls, total.offeredValue > 0 ? 100 * total.inTimeValue / total.offeredValue : 100,
        total.offeredValue > 0 ? 100 * total.lateValue / total.offeredValue : 0, total.rejected, total.failed,
        total.requests, total.attempts, total.rejectedAttempts, total.timeouts, total.connectFailed,
        total.resets, total.errors, total.sheddingThreshold,
        secondsWithP50 ? total.p50 / static_cast<double>(secondsWithP50) : 0, total.p99);
  }
  std::vector<std::pair<double, std::string>> chokes;
  for (const ServerRecord& server : result.servers)
    for (const Server::Choke& choke : server.chokes)
      chokes.emplace_back(
          inSeconds(choke.from),
          fmt::format(
              "{:>10.3f} s  {} ({}, {}) is overloaded with {:.1f} requests in flight per core{}\n",
              inSeconds(choke.from), server.address, server.kind, server.zone, choke.inFlightPerCore,
              choke.to > Time{} ? fmt::format(", until {:.3f} s", inSeconds(choke.to)) : ", until the end"));
  std::sort(chokes.begin(), chokes.end());
  for (const std::string& text : result.timeline)
    out += "  " + text + "\n";
  for (const auto& [at, text] : chokes)
    out += text;
  for (const Breach& breach : result.breaches)
    out += lineOf(breach) + "\n";
  if (result.breaches.empty())
    out += "no rule violated\n";
  return out;
}

std::string htmlOf(const std::vector<StoredRun>& runs) {
  std::string html =
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>hollyrun lab</title><style>"
      "body{font-family:sans-serif;max-width:1000px;margin:2em "
      "auto;color:#222}table{border-collapse:collapse}"
      "td,th{padding:.2em .6em;text-align:right;border-bottom:1px solid "
      "#ddd}td:nth-child(-n+3){text-align:left}"
      ".bad{color:#b00}pre{background:#f6f6f6;padding:1em;overflow:auto}svg{width:100%;height:auto}</style></"
      "head>"
      "<body><h1>hollyrun "
      "lab</h1><table><tr><th>label</th><th>scenario</th><th>policy</th><th>seed</th><th>G</th>"
      "<th>whole</th><th>worst 10 s</th><th>worst "
      "class</th><th>refused</th><th>failed</th><th>jammed</th><th>p50 ms"
      "</th><th>p99 ms</th></tr>";
  for (const StoredRun& run : runs) {
    const Result& result = run.result;
    html += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.4f}</td><td>{:.4f}</td><td>{:.4f}</"
        "td><td>{:.4f}</td>"
        "<td>{:.1f} %</td><td>{:.1f} %</td><td>{:.0f} %</td><td>{:.1f}</td><td>{:.1f}</td></tr>",
        escaped(run.label), escaped(result.scenario), escaped(result.policy), result.seed, result.score,
        result.goodput, result.worstWindowGoodput, result.worstClassGoodput, 100 * result.rejectedShare,
        100 * result.failedShare, 100 * result.chokedShare, result.p50, result.p99);
  }
  html += "</table>";
  for (const StoredRun& run : runs) {
    if (run.result.seconds.empty())
      continue;
    html += fmt::format("<h2>Run {}: {}, {}, seed {}</h2>", run.id, escaped(run.result.scenario),
                        escaped(run.result.policy), run.result.seed);
    for (const Breach& breach : run.result.breaches)
      html += "<p class=\"bad\">" + escaped(lineOf(breach)) + "</p>";
    html += figuresOf(run.result) + "<details><summary>Figures</summary><pre>" + escaped(textOf(run.result)) +
            "</pre></details>";
  }
  return html + "</body></html>\n";
}

}  // namespace hollyrun::lab
