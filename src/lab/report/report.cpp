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

constexpr std::size_t kRows = 14;  // of a text's table over time, about
constexpr double kSampleS = 0.25;

// Runs a script of gnuplot in a directory of its own and gives back the SVG.
std::string plotted(const std::string& script) {
  std::string pattern = (std::filesystem::temp_directory_path() / "hollyrun-lab-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("no temporary directory for the plots");
  const std::filesystem::path dir = pattern;
  struct Cleaner {
    std::filesystem::path path;
    ~Cleaner() {
      std::error_code ignored;
      std::filesystem::remove_all(path, ignored);
    }
  } cleaner{dir};
  const std::filesystem::path file = dir / "plot.gp", svg = dir / "plot.svg";
  std::ofstream(file) << "set terminal svg size 960,320 dynamic font 'sans-serif,12' background '#ffffff'\n"
                      << "set output '" << svg.string() << "'\nset key outside right top\nset grid\n"
                      << "set xlabel 'seconds'\n"
                      << script;
  const std::string command = "gnuplot '" + file.string() + "' 2>'" + (dir / "errors").string() + "'";
  if (std::system(command.c_str()) != 0) {
    std::stringstream errors;
    errors << std::ifstream(dir / "errors").rdbuf();
    throw std::runtime_error("gnuplot could not draw a plot: " + errors.str());
  }
  std::stringstream text;
  text << std::ifstream(svg).rdbuf();
  std::string all = text.str();
  const std::size_t begin = all.find("<svg");
  return begin == std::string::npos ? all : all.substr(begin);
}

std::string secondsData(const Result& r) {
  std::string data = "$s << EOD\n";
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const Second& s = r.seconds[i];
    const double asked = std::max(s.offeredValue, 1e-9);
    data += fmt::format("{} {:.4f} {:.4f} {} {} {} {} {} {} {} {:.2f} {:.2f} {:.2f} {}\n", i,
                        s.inTimeValue / asked, (s.inTimeValue + s.lateValue) / asked, s.requests, s.rejected,
                        s.failed, s.rejectedAttempts, s.timeouts, s.connectFailed + s.resets, s.errors,
                        s.sheddingThreshold, s.p50, s.p99, s.attempts);
  }
  return data + "EOD\n";
}

std::string statesPlot(const Result& r) {
  static const char* const colours[] = {"#d9ead3", "#9fc5e8", "#cc0000", "#f6b26b",
                                        "#ffe599", "#666666", "#b4a7d6", "#eeeeee"};
  std::string script =
      fmt::format("set yrange [-1:{}]\nset ytics 1\nset ylabel 'server'\n", r.servers.size());
  if (r.servers.size() > 30)
    script += "set ytics 20\n";
  std::string plot;
  for (int state = 0; state < 8; ++state) {
    std::string data;
    for (std::size_t i = 0; i < r.servers.size(); ++i) {
      const auto& states = r.servers[i].states;
      for (std::size_t k = 0; k < states.size();) {  // stretches of one state
        std::size_t end = k;
        while (end < states.size() && states[end] == states[k])
          ++end;
        if (static_cast<int>(states[k]) == state)
          data += fmt::format("{:.2f} {} {:.2f} 0\n", static_cast<double>(k) * kSampleS, i,
                              static_cast<double>(end - k) * kSampleS);
        k = end;
      }
    }
    if (data.empty())
      continue;
    script += fmt::format("$state{} << EOD\n{}EOD\n", state, data);
    plot += fmt::format("{}$state{} with vectors nohead lw {} lc rgb '{}' title '{}'",
                        plot.empty() ? "" : ", ", state, r.servers.size() > 30 ? 2 : 10, colours[state],
                        nameOf(static_cast<ServerState>(state)));
  }
  return script + "plot " + plot + "\n";
}

std::string heldPlot(const Result& r) {
  std::size_t samples = 0;
  for (const ServerRecord& s : r.servers)
    samples = std::max(samples, s.inFlight.size());
  std::string data = "$h << EOD\n";
  const bool each = r.servers.size() <= 20;  // beyond that their spread says more than a tangle of lines
  for (std::size_t k = 0; k < samples; ++k) {
    data += fmt::format("{:.2f}", static_cast<double>(k) * kSampleS);
    std::vector<double> held;
    for (const ServerRecord& s : r.servers) {
      const double core = k < s.inFlight.size() ? s.inFlight[k] / s.cores : 0;
      if (each)
        data += fmt::format(" {:.2f}", core);
      else if (k < s.states.size() && s.states[k] != ServerState::gone)
        held.push_back(core);
    }
    if (!each) {
      std::sort(held.begin(), held.end());
      for (double part : {0.5, 0.9, 1.0})
        data += fmt::format(
            " {:.2f}",
            held.empty() ? 0.0 : held[static_cast<std::size_t>(part * static_cast<double>(held.size() - 1))]);
    }
    data += "\n";
  }
  data += "EOD\nset ylabel 'held a core'\nplot ";
  if (!each)
    return data +
           "$h using 1:2 with lines title 'median', '' using 1:3 with lines title '90 %', "
           "'' using 1:4 with lines title 'most'\n";
  for (std::size_t i = 0; i < r.servers.size(); ++i)
    data += fmt::format("{}{} using 1:{} with lines title '{} {}'", i == 0 ? "" : ", ", i == 0 ? "$h" : "''",
                        i + 2, i, r.servers[i].kind);
  return data + "\n";
}

std::string figuresOf(const Result& r) {
  const std::string data = secondsData(r);
  std::string html =
      "<h3>Goodput</h3>" +
      plotted(data +
              "set yrange [0:1.05]\nset ylabel 'share of the worth'\n"
              "plot $s using 1:2 with lines lw 2 title 'in time', '' using 1:3 with lines title 'with late', "
              "'' using 1:($11/100) with lines title 'cutoff / 100'\n");
  html += "<h3>Tries and refusals</h3>" +
          plotted(data +
                  "set ylabel 'a second'\n"
                  "plot $s using 1:4 with lines title 'tries', '' using 1:14 with lines title 'attempts', "
                  "'' using 1:5 with lines title 'refused', '' using 1:6 with lines title 'failed'\n");
  html +=
      "<h3>Attempts that did not serve</h3>" +
      plotted(
          data +
          "set ylabel 'a second'\n"
          "plot $s using 1:7 with lines title 'full', '' using 1:8 with lines title 'timed out', "
          "'' using 1:9 with lines title 'not connected, reset', '' using 1:10 with lines title 'error'\n");
  html += "<h3>Time to an answer</h3>" +
          plotted(data +
                  "set logscale y\nset ylabel 'ms'\n"
                  "plot $s using 1:12 with lines title 'median', '' using 1:13 with lines title '99 %'\n");
  if (r.servers.empty() || r.servers.front().inFlight.empty())
    return html;
  html += "<h3>Held by each server</h3>" + plotted(heldPlot(r));
  html += "<h3>State of each server</h3>" + plotted(statesPlot(r));
  return html;
}

}  // namespace

std::string lineOf(const Breach& b) {
  return fmt::format("RULE {} at {:.3f} s: {}{}{}", nameOf(b.rule), inSeconds(b.at),
                     b.request ? fmt::format("request {}, ", b.request) : "",
                     b.server.empty() ? "" : fmt::format("server {}: ", b.server), b.what);
}

std::string lineOf(const Result& r) {
  return fmt::format("{} {} {} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.1f} {:.1f} {:016x}",
                     r.scenario, r.policy, r.seed, r.score, r.goodput, r.worstWindowGoodput,
                     r.worstClassGoodput, r.rejectedShare, r.failedShare, r.chokedShare, r.p50, r.p99,
                     r.digest);
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

std::string textOf(const Result& r) {
  std::string out = fmt::format("{}  policy {}  seed {}  calls {}  servers {}\n", r.scenario, r.policy,
                                r.seed, r.calls, r.servers.size());
  out += fmt::format("G {:.4f}   whole day {:.4f}   worst 10 s {:.4f} (from {:.0f} s)   worst class {:.4f}\n",
                     r.score, r.goodput, r.worstWindowGoodput, r.worstWindowStartS, r.worstClassGoodput);
  out += fmt::format(
      "prices: cross zone {:.4f}, handshake {:.4f}, late fail {:.4f}, waste {:.4f}, choke {:.4f}\n",
      r.priceCrossZone, r.priceHandshake, r.priceLateFail, r.priceWaste, r.priceChoke);
  out += fmt::format(
      "calls refused at last {:.2f} %, failed {:.2f} %; answers after {:.1f} ms (median), {:.1f} (90 %), "
      "{:.1f} (99 "
      "%)\n",
      100 * r.rejectedShare, 100 * r.failedShare, r.p50, r.p90, r.p99);
  out += fmt::format("tries {}, attempts {}, connections {}, events {}, digest of the actions {:016x}\n",
                     r.requests, r.attempts, r.connections, r.events, r.digest);
  for (const ClassRecord& c : r.classes)
    out += fmt::format(
        "class {:<14} served {:.4f}  calls {:>6}  in time {:>6}  late {:>5}  refused {:>5}  failed {:>5}\n",
        c.name, c.offeredValue > 0 ? c.servedValue / c.offeredValue : 1, c.calls, c.inTime, c.late,
        c.rejected, c.failed);
  out +=
      "  from  calls in-time%  late% refused failed  tries attempts   full  t/o  conn reset  err cutoff    "
      "p50    p99\n";
  const std::size_t step = std::max<std::size_t>(1, (r.seconds.size() + kRows - 1) / kRows);
  for (std::size_t i = 0; i < r.seconds.size(); i += step) {
    Second s;
    std::size_t with = 0;
    for (std::size_t j = i; j < std::min(i + step, r.seconds.size()); ++j) {
      const Second& o = r.seconds[j];
      s.offeredValue += o.offeredValue, s.inTimeValue += o.inTimeValue, s.lateValue += o.lateValue;
      s.calls += o.calls, s.requests += o.requests, s.rejected += o.rejected, s.failed += o.failed;
      s.attempts += o.attempts, s.rejectedAttempts += o.rejectedAttempts, s.timeouts += o.timeouts;
      s.connectFailed += o.connectFailed, s.resets += o.resets, s.errors += o.errors;
      s.sheddingThreshold = std::max(s.sheddingThreshold, o.sheddingThreshold);
      s.p99 = std::max(s.p99, o.p99);
      if (o.p50 > 0)
        s.p50 += o.p50, ++with;
    }
    out += fmt::format(
        "{:>6} {:>6} {:>8.1f} {:>6.1f} {:>7} {:>6} {:>6} {:>8} {:>6} {:>4} {:>5} {:>5} {:>4} {:>6.1f} "
        "{:>6.1f} {:>6.1f}\n",
        i, s.calls, s.offeredValue > 0 ? 100 * s.inTimeValue / s.offeredValue : 100,
        s.offeredValue > 0 ? 100 * s.lateValue / s.offeredValue : 0, s.rejected, s.failed, s.requests,
        s.attempts, s.rejectedAttempts, s.timeouts, s.connectFailed, s.resets, s.errors, s.sheddingThreshold,
        with ? s.p50 / static_cast<double>(with) : 0, s.p99);
  }
  std::vector<std::pair<double, std::string>> chokes;
  for (const ServerRecord& s : r.servers)
    for (const Server::Choke& c : s.chokes)
      chokes.emplace_back(
          inSeconds(c.from),
          fmt::format("{:>10.3f} s  {} ({}, {}) jams holding {:.1f} a core{}\n", inSeconds(c.from), s.address,
                      s.kind, s.zone, c.inFlightPerCore,
                      c.to > Time{} ? fmt::format(", until {:.3f} s", inSeconds(c.to)) : ", for good"));
  std::sort(chokes.begin(), chokes.end());
  for (const std::string& text : r.timeline)
    out += "  " + text + "\n";
  for (const auto& [at, text] : chokes)
    out += text;
  for (const Breach& b : r.breaches)
    out += lineOf(b) + "\n";
  if (r.breaches.empty())
    out += "rules kept\n";
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
    const Result& r = run.result;
    html += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.4f}</td><td>{:.4f}</td><td>{:.4f}</"
        "td><td>{:.4f}</td>"
        "<td>{:.1f} %</td><td>{:.1f} %</td><td>{:.0f} %</td><td>{:.1f}</td><td>{:.1f}</td></tr>",
        escaped(run.label), escaped(r.scenario), escaped(r.policy), r.seed, r.score, r.goodput,
        r.worstWindowGoodput, r.worstClassGoodput, 100 * r.rejectedShare, 100 * r.failedShare,
        100 * r.chokedShare, r.p50, r.p99);
  }
  html += "</table>";
  for (const StoredRun& run : runs) {
    if (run.result.seconds.empty())
      continue;
    html += fmt::format("<h2>Run {}: {}, {}, seed {}</h2>", run.id, escaped(run.result.scenario),
                        escaped(run.result.policy), run.result.seed);
    for (const Breach& b : run.result.breaches)
      html += "<p class=\"bad\">" + escaped(lineOf(b)) + "</p>";
    html += figuresOf(run.result) + "<details><summary>Figures</summary><pre>" + escaped(textOf(run.result)) +
            "</pre></details>";
  }
  return html + "</body></html>\n";
}

}  // namespace hollyrun::lab
