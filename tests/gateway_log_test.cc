// gateway_log_test.cc - log lines about requests
#include <gtest/gtest.h>

#include <unistd.h>

#include <string>

#include "relay.h"

extern "C" {
#include "gateway_log.h"
}

namespace {

// A line is cut at a limit: that must not be below a request's line, whose
// outcome comes last.
TEST(GatewayLog, TheLongestLineOfARequestHasItsOutcome) {
  int fds[2];
  ASSERT_EQ(pipe(fds), 0);
  mt_log_writer_t *log =
      mt_log_writer_open(fds[1], std::string(MT_NAME_MAX, 'n').c_str(), 100);
  Relay w(1);
  w.declare(INT32_MAX);
  w.relay->now = UINT64_MAX / 1000;
  mt_relay_request_t r{};
  snprintf(r.id, sizeof r.id, "%s", std::string(39, 'i').c_str());
  snprintf(r.current.engine_name, sizeof r.current.engine_name, "%s",
           std::string(47, 'e').c_str());
  r.digest = UINT64_MAX;
  r.route = r.workspace = UINT32_MAX;
  r.current.number = r.attempts_max = 6;
  r.current.status = 200;
  r.current.wait_expected = r.current.ttft_expected =
      r.current.pause_expected = 123456;
  r.current.ttft = r.longest_gap = 123456;
  r.current.slowness = r.service_ratio = 88.88;
  r.tokens_in = r.current.pending_prefill = r.current.fetched = r.last_event =
      12345678;
  r.current.last_received = w.relay->now - 123456;
  mt_gateway_log_request(log, w.relay, &r, "attempt-failed",
                         "configuration_unsure");
  mt_log_writer_flush(log);
  mt_log_writer_close(log);
  char text[4096];
  ssize_t n = read(fds[0], text, sizeof text);
  close(fds[0]);
  ASSERT_GT(n, 0);
  std::string line(text, (size_t)n);
  EXPECT_NE(
      line.find(" slowness=88.88 pause=123456 gap=123456 silent=123456 "),
      std::string::npos)
      << line;
  EXPECT_NE(line.find(" why=configuration_unsure\n"), std::string::npos)
      << line;
}

} // namespace
