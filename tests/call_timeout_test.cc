// call_timeout_test.cc - time-outs of the router's client
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "mtcall.h"
}

namespace {

struct Outcome {
  bool ended = false, failed = false;
};

void on_event (void *ud, mt_call_t *, const mt_callev_t *ev) {
  auto *outcome = (Outcome *)ud;
  outcome->ended = outcome->ended || ev->kind == MT_CALL_END;
  outcome->failed = outcome->failed || ev->kind == MT_CALL_FAILED;
}

// Guards against calls that fail for want of a response that lies unread, as
// the loop stood still for longer than their time-out.
TEST(CallTimeout, AResponseThatCameDuringAStallIsRead) {
  for (bool responds : {true, false}) {
    uv_loop_t loop{};
    uv_loop_init(&loop);
    mt_http_t *http = mtY_open(&loop, 250);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in any{};
    socklen_t size = sizeof any;
    uv_ip4_addr("127.0.0.1", 0, &any);
    bind(listener, (sockaddr *)&any, sizeof any);
    listen(listener, 1);
    getsockname(listener, (sockaddr *)&any, &size);
    mt_callspec_t spec{};
    spec.method = "GET";
    spec.path = "/";
    snprintf(spec.addr.ip, sizeof spec.addr.ip, "127.0.0.1");
    spec.addr.port = ntohs(any.sin_port);
    Outcome outcome;
    mtY_call(http, &spec, on_event, &outcome);
    int peer = accept(listener, nullptr, nullptr);
    char request[512];
    while (recv(peer, request, sizeof request, MSG_DONTWAIT) <= 0)
      uv_run(&loop, UV_RUN_NOWAIT);
    const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (responds) send(peer, response, sizeof response - 1, 0);
    usleep(400000);
    while (!outcome.ended && !outcome.failed) uv_run(&loop, UV_RUN_NOWAIT);
    EXPECT_EQ(outcome.ended, responds);
    EXPECT_EQ(outcome.failed, !responds);
    mtY_close(http);
    close(peer);
    close(listener);
    while (uv_run(&loop, UV_RUN_DEFAULT) != 0) continue;
    EXPECT_EQ(uv_loop_close(&loop), 0);
  }
}

} // namespace
