// gateway_load_test.cc - the log line about a gateway's own load
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "relay.h"

extern "C" {
#include "boot_clock.h"
#include "gateway_load.h"
}

namespace {

struct Load {
  Relay w;
  int fds[2];
  mt_log_writer_t *log;
  uv_loop_t loop;
  mt_http_server_t *server;
  mt_overload_t overload{};
  mt_gateway_load_t load{};
  mt_ms_t processor = 0;

  Load() {
    EXPECT_EQ(pipe(fds), 0);
    log = mt_log_writer_open(fds[1], "r", 100);
    mt_boot_clock_init_loop(&loop);
    static const mt_http_server_handler_t handler{};
    char reason[128];
    server = mt_http_server_open(&loop, "127.0.0.1", 0, &handler, nullptr,
                                 reason, sizeof reason);
  }
  ~Load() {
    mt_http_server_close(server);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    mt_log_writer_close(log);
    close(fds[0]);
    close(fds[1]);
  }
  // Ticks of `length` ms for `total` ms; returns the lines.
  std::string ticks (mt_ms_t length, mt_ms_t total) {
    for (mt_ms_t t = 0; t < total; t += length) {
      w.now += length;
      const mt_gateway_load_view_t view = {w.relay, server, &overload,
                                           processor};
      mt_gateway_load_tick(&load, &view, log, length, w.now);
    }
    mt_log_writer_flush(log);
    char text[8192];
    ssize_t n = 0;
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    n = read(fds[0], text, sizeof text);
    return n > 0 ? std::string(text, (size_t)n) : "";
  }
};

// Without them the reasons for refusals as router_full look the same.
TEST(GatewayLoad, LineNamesTheReasonOfFullRouters) {
  struct Row {
    const char *name;
    bool overloaded, severe;
    uint64_t full, lagging;
    const char *part; // of the line; "": no line
  } rows[] = {
      {"calm", false, false, 0, 0, ""},
      {"not ready", true, false, 0, 0, " full=0 lagging=0 accepted=0 "},
      {"lagging", true, true, 40, 40, " full=40 lagging=40 accepted=0 "},
      {"too many requests", false, false, 40, 0, " full=40 lagging=0 "}};
  for (const Row &row : rows) {
    Load l;
    l.ticks(25, 100);
    l.overload.overloaded = row.overloaded;
    l.overload.severe = row.severe;
    mt_relay_counters_t *c = &l.w.relay->counters;
    c->requests += 50;
    c->refusals[MT_RELAY_FULL] += row.full;
    c->refused_lagging += row.lagging;
    l.processor += 900;
    std::string line = l.ticks(25, 1000);
    if (row.part[0] == '\0') {
      EXPECT_EQ(line, "") << row.name;
      continue;
    }
    EXPECT_NE(line.find(row.part), std::string::npos) << row.name << line;
    EXPECT_NE(line.find(" processor=900 arrivals=50 "), std::string::npos)
        << row.name << line;
    EXPECT_NE(line.find(row.severe       ? "outcome=refuses\n"
                        : row.overloaded ? "outcome=not-ready\n"
                                         : "outcome=ready\n"),
              std::string::npos)
        << row.name << line;
  }
}

// A burst of lines about engines must not hide that the process is
// overloaded.
TEST(GatewayLoad, LinesOfEnginesDoNotCrowdItOut) {
  Load l;
  l.ticks(25, 100);
  l.overload.overloaded = true;
  for (int i = 0; i < 500; i++)
    mt_log_line(l.log, MT_LOG_STATE, l.w.now, "engine", "outcome=refuses");
  std::string lines = l.ticks(25, 1000);
  EXPECT_NE(lines.find("event=load "), std::string::npos);
}

} // namespace
