// fleet_test.cc - router processes over sockets, with simulated engines,
// store and service.
#include <gtest/gtest.h>

#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "bbload.h"
#include "mtcrypt.h"
}

namespace {

const char *bin () {
  const char *b = getenv("MT_BIN");
  return b ? b : "build";
}

// Starts a fleet of processes and stops it at the end of the test.
struct TestFleet {
  bb_cluster_t *lab;
  explicit TestFleet(bb_cluster_spec_t spec)
      : lab(bb_start_cluster(bin(), &spec)) {
  }
  ~TestFleet() {
    bb_stop_cluster(lab);
  }
  TestFleet(const TestFleet &) = delete;
  bb_cluster_t *operator->() const {
    return lab;
  }

  struct Reply {
    int status;
    std::string text;
  };
  Reply call (size_t router, const char *method, const std::string &path,
              const std::string &headers, const char *body,
              const char *key = "key-w1") {
    std::string h = std::string("Authorization: Bearer ") + key +
                    "\r\nContent-Type: application/json\r\n" + headers;
    char *text;
    int status = bb_request(lab, &lab->routers[router].callers, method,
                            path.c_str(), h.c_str(), body, &text);
    Reply a{status, text};
    free(text);
    return a;
  }
  Reply chat (size_t router, const std::string &content,
              const std::string &headers = "", bool stream = false) {
    std::string body = "{\"model\":\"m1\",\"stream\":" +
                       std::string(stream ? "true" : "false") +
                       ",\"messages\":[{\"role\":\"user\",\"content\":\"" +
                       content + "\"}]}";
    return call(router, "POST", "/v1/chat/completions", headers,
                body.c_str());
  }
  int cli (std::vector<const char *> args, std::string *out = nullptr) {
    args.push_back(nullptr);
    char *text;
    int code = bb_cli(lab, args.data(), &text);
    if (out) *out = text;
    free(text);
    return code;
  }
  std::string file (const char *name, const std::string &text) {
    std::string path = std::string(lab->dir) + "/" + name;
    std::ofstream(path) << text;
    return path;
  }
  // Injects a fault into the simulated store: outage=1, lostack=COUNT.
  void store (const char *query) {
    std::string path = std::string("/switch?") + query;
    bb_request(lab, &lab->store, "POST", path.c_str(), nullptr, nullptr,
               nullptr);
  }
  // Runs of each call at the simulated service, by name.
  json_t *calls () {
    return bb_get_json(lab, &lab->service, "/calls");
  }
  int run_count (const std::string &name) {
    json_t *c = calls();
    int n = (int)json_integer_value(json_object_get(c, name.c_str()));
    json_decref(c);
    return n;
  }
  // Waits for a condition, for at least 30 s: only a failing test gets there.
  bool wait_until (const std::function<bool()> &cond) {
    for (int i = 0; i < 1500; i++) {
      if (cond()) return true;
      bb_run_loop(lab, 20);
    }
    return false;
  }
};

bb_cluster_spec_t spec (int routers, int domains, int engines,
                        bool proxied = false) {
  bb_cluster_spec_t s{};
  s.domains = domains;
  s.routers = routers;
  s.engines = engines;
  s.slots = 4;
  s.rate = 200;
  s.workspaces = 2;
  s.service = true;
  s.proxied = proxied;
  return s;
}

// The body of a streamed completion with `tokens` output tokens.
std::string stream_request_body (int tokens) {
  return "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\","
         "\"content\":\"tokens=" +
         std::to_string(tokens) + "\"}]}";
}

// An asynchronous completion request to the first router; borrows `body`.
mt_callspec_t asked (TestFleet &f, const std::string &body,
                     const char *headers) {
  mt_callspec_t call{};
  call.addr = f->routers[0].callers;
  call.method = "POST";
  call.path = "/v1/chat/completions";
  call.headers = headers;
  call.body = mt_bytes_t{body.data(), body.size()};
  call.fresh = true;
  return call;
}

std::string error_code_json (const std::string &code) {
  return "\"code\":\"" + code + "\"";
}

TEST(Fleet, BadInputIsRejectedWithACodeAndTheRouterStaysUp) {
  TestFleet f(spec(1, 1, 1));
  struct Row {
    const char *method, *path, *body, *key;
    int status;
    const char *code;
  } rows[] = {
      {"POST", "/v1/chat/completions", "", "key-w1", 400, "bad_request"},
      {"POST", "/v1/chat/completions", "[1,2", "key-w1", 400, "bad_request"},
      {"POST", "/v1/chat/completions", "[]", "key-w1", 400, "bad_request"},
      {"POST", "/v1/chat/completions", "{\"model\":5}", "key-w1", 400,
       "bad_request"},
      {"POST", "/v1/chat/completions", "{\"model\":\"m1\"}", "key-w1", 400,
       "bad_request"},
      {"POST", "/v1/chat/completions",
       "{\"model\":\"m1\",\"messages\":[],\"max_tokens\":-1}", "key-w1", 400,
       "bad_request"},
      {"POST", "/v1/chat/completions", "{\"model\":\"m1\",\"messages\":[]}",
       "wrong", 401, "bad_key"},
      {"POST", "/v1/chat/completions", "{\"model\":\"x\",\"messages\":[]}",
       "key-w1", 404, "no_such_model"},
      {"GET", "/services/none/x", nullptr, "key-w1", 404, "no_such_model"},
      {"GET", "/services/", nullptr, "key-w1", 400, "bad_request"},
      {"GET", "/else", nullptr, "key-w1", 404, "no_such_route"},
      {"GET", "/v1/streams?from=x", nullptr, "key-w1", 403,
       "bad_resume_token"},
  };
  for (const Row &row : rows) {
    auto a = f.call(0, row.method, row.path, "", row.body, row.key);
    EXPECT_EQ(a.status, row.status) << row.path << " " << a.text;
    EXPECT_NE(a.text.find(error_code_json(row.code)), std::string::npos)
        << a.text;
  }
  auto large = f.chat(0, std::string(MT_BODY_MAX, 'x'));
  EXPECT_EQ(large.status, 413);
  EXPECT_NE(large.text.find(error_code_json("too_large")), std::string::npos);
  EXPECT_EQ(f.chat(0, "tokens=3").status, 200);
}

// Guards against a crash on uninitialised memory, which some runs survive.
TEST(Fleet, EveryRunOfStatusAndDrainGetsTheRoutersReply) {
  TestFleet f(spec(1, 1, 1));
  std::string url =
      "http://127.0.0.1:" + std::to_string(f->routers[0].operators.port);
  for (int i = 0; i < 50; i++) {
    std::string out;
    ASSERT_EQ(f.cli({"status", "--router", url.c_str()}, &out), 0)
        << "run " << i << "\n"
        << out;
    ASSERT_EQ(out.find("node "), 0u) << "run " << i << "\n" << out;
  }
  std::string drained;
  EXPECT_EQ(f.cli({"drain", "--router", url.c_str()}, &drained), 0);
  EXPECT_EQ(drained, "drained\n");
}

TEST(Fleet, PolicyIsPublishedRevisedAndWithdrawnOnEveryRouter) {
  TestFleet f(spec(3, 3, 3));
  std::string only2 =
      f.file("only2.lua", "function place(r, t) return {'e2'} end\n");
  std::string only3 =
      f.file("only3.lua", "function place(r, t) return {'e3'} end\n");
  std::string faulty =
      f.file("faulty.lua", "function place(r, t)\n  x = =\n");
  std::string out;
  auto engines_used = [&] (size_t router) {
    std::set<std::string> names;
    std::vector<json_int_t> runs;
    for (size_t i = 0; i < f->nengines; i++) {
      json_t *s = bb_get_json(f.lab, &f->engines[i].addr, "/stats");
      runs.push_back(json_integer_value(json_object_get(s, "runs")));
      json_decref(s);
    }
    for (int k = 0; k < 3; k++)
      EXPECT_EQ(f.chat(router, "tokens=1").status, 200);
    for (size_t i = 0; i < f->nengines; i++) {
      json_t *s = bb_get_json(f.lab, &f->engines[i].addr, "/stats");
      if (json_integer_value(json_object_get(s, "runs")) != runs[i])
        names.insert(f->engines[i].name);
      json_decref(s);
    }
    return names;
  };
  EXPECT_EQ(f.cli({"policy", "publish", "default", only2.c_str()}), 0);
  ASSERT_TRUE(bb_wait_converged(f.lab, 2, 20000));
  for (size_t r = 0; r < 3; r++)
    EXPECT_EQ(engines_used(r), std::set<std::string>{"e2"});
  EXPECT_EQ(f.cli({"policy", "revise", "default", faulty.c_str(),
                   "--replaces", "2"},
                  &out),
            1);
  EXPECT_NE(out.find("line"), std::string::npos) << out;
  EXPECT_EQ(
      f.cli({"policy", "revise", "default", only3.c_str(), "--replaces", "1"},
            &out),
      1);
  EXPECT_NE(out.find("revision 2 won"), std::string::npos) << out;
  EXPECT_EQ(f.cli({"policy", "revise", "default", only3.c_str(), "--replaces",
                   "2"}),
            0);
  ASSERT_TRUE(bb_wait_converged(f.lab, 3, 20000));
  for (size_t r = 0; r < 3; r++)
    EXPECT_EQ(engines_used(r), std::set<std::string>{"e3"});
  EXPECT_EQ(f.cli({"policy", "withdraw", "default", "--replaces", "3"}), 0);
  ASSERT_TRUE(bb_wait_converged(f.lab, 4, 20000));
  EXPECT_EQ(f.chat(0, "tokens=1").status, 200);
  EXPECT_EQ(f.cli({"policy", "list"}, &out), 0);
  EXPECT_EQ(out, "");
}

TEST(Fleet, OfTwoConcurrentPublishesOneIsRejected) {
  TestFleet f(spec(1, 1, 1));
  std::string a = f.file("a.lua", "function order(r) return 1 end\n");
  std::string b = f.file("b.lua", "function order(r) return 2 end\n");
  std::string script =
      "export MARTENTILLER_STORE=http://127.0.0.1:" +
      std::to_string(f->store.port) + "; M=" + f->bin +
      "/martentiller; D=" + f->dir + ";\n$M policy publish x " + a +
      " >$D/o1 2>&1; echo $? >$D/c1 &" + "\n$M policy publish x " + b +
      " >$D/o2 2>&1; echo $? >$D/c2 &\nwait\n";
  ASSERT_EQ(system(script.c_str()), 0);
  auto read = [&] (const char *n) {
    std::ifstream in(std::string(f->dir) + "/" + n);
    return std::string(std::istreambuf_iterator<char>(in), {});
  };
  EXPECT_EQ(read("c1") + read("c2") == "0\n1\n" ||
                read("c1") + read("c2") == "1\n0\n",
            true)
      << read("o1") << read("o2");
  std::string rejected = read("c1") == "1\n" ? read("o1") : read("o2");
  EXPECT_TRUE(rejected.find("came first") != std::string::npos ||
              rejected.find("published already") != std::string::npos)
      << rejected;
}

TEST(Fleet, WriteWithLostAcknowledgementTakesEffectOnce) {
  TestFleet f(spec(1, 1, 1));
  std::string a = f.file("a.lua", "function order(r) return 1 end\n"), out;
  f.store("lostack=3");
  EXPECT_EQ(f.cli({"policy", "publish", "x", a.c_str()}, &out), 0) << out;
  EXPECT_EQ(f.cli({"policy", "history", "x"}, &out), 0);
  EXPECT_NE(out.find("revision 2"), std::string::npos) << out;
  EXPECT_EQ(out.find("revision 3"), std::string::npos) << out;
  std::string decl = std::string(f->dir) + "/decl";
  EXPECT_EQ(f.cli({"apply", decl.c_str()}, &out), 0);
  EXPECT_NE(out.find("nothing to change"), std::string::npos) << out;
}

TEST(Fleet, RouterLoadsConfigurationFromPeersDuringStoreOutage) {
  TestFleet f(spec(3, 3, 3));
  f.store("outage=1");
  bb_end_proc(f->routers[1].proc, SIGKILL);
  bb_start_router(f.lab, 1);
  EXPECT_TRUE(bb_wait_converged(f.lab, 1, 30000));
  EXPECT_EQ(f.chat(1, "tokens=2").status, 200);
}

TEST(Fleet, NonRepeatableCallRunsOnceAcrossRouters) {
  TestFleet f(spec(3, 3, 3));
  std::string once = "X-Not-Repeatable: 1\r\nIdempotency-Key: k1\r\n";
  EXPECT_EQ(
      f.call(0, "POST", "/services/portal/pay?call=a", once, "x").status,
      200);
  for (size_t r = 0; r < 3; r++) {
    auto a = f.call(r, "POST", "/services/portal/pay?call=a", once, "x");
    EXPECT_EQ(a.status, 409) << a.text;
    EXPECT_NE(a.text.find(error_code_json("already_claimed")),
              std::string::npos);
  }
  EXPECT_EQ(f.run_count("a"), 1);
  f.store("lostack=1");
  std::string two = "X-Not-Repeatable: 1\r\nIdempotency-Key: k2\r\n";
  EXPECT_EQ(f.call(1, "POST", "/services/portal/pay?call=b", two, "x").status,
            200)
      << "the claim is read back after a lost acknowledgement";
  EXPECT_EQ(f.run_count("b"), 1);
  f.store("outage=1");
  std::string three = "X-Not-Repeatable: 1\r\nIdempotency-Key: k3\r\n";
  auto a = f.call(2, "POST", "/services/portal/pay?call=c", three, "x");
  EXPECT_EQ(a.status, 503);
  EXPECT_NE(a.text.find(error_code_json("claim_store_unreachable")),
            std::string::npos);
  EXPECT_EQ(f.run_count("c"), 0);
}

TEST(Fleet, StreamResumesAtAnotherRouterOnlyWithItsToken) {
  TestFleet f(spec(2, 2, 2));
  // The resume token is in a reply header, which only a raw connection shows.
  // The first router is killed in the middle of the stream.
  std::string body = stream_request_body(120);
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(f->routers[0].callers.port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
  std::string req = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                    "Authorization: Bearer key-w1\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
  ASSERT_EQ(write(fd, req.data(), req.size()), (ssize_t)req.size());
  std::string got;
  char buf[4096];
  while (got.find("\"content\"") == std::string::npos) {
    ssize_t n = read(fd, buf, sizeof buf);
    ASSERT_GT(n, 0) << got;
    got.append(buf, (size_t)n);
  }
  size_t at = got.find("x-resume-token: ");
  ASSERT_NE(at, std::string::npos) << got;
  std::string token = got.substr(at + 16, got.find('\r', at) - at - 16);
  bb_end_proc(f->routers[0].proc, SIGKILL);
  close(fd);
  std::string h = "X-Resume-Token: " + token + "\r\n";
  auto r = f.call(1, "GET", "/v1/streams?from=0", h, nullptr);
  EXPECT_EQ(r.status, 200) << r.text;
  size_t events = 0;
  for (at = 0; (at = r.text.find("\"content\"", at)) != std::string::npos;
       at++)
    events++;
  EXPECT_EQ(events, 120u);
  EXPECT_NE(r.text.find("[DONE]"), std::string::npos);
  auto rest = f.call(1, "GET", "/v1/streams?from=100", h, nullptr);
  events = 0;
  for (at = 0; (at = rest.text.find("\"content\"", at)) != std::string::npos;
       at++)
    events++;
  EXPECT_EQ(events, 20u);
  auto other = f.call(1, "GET", "/v1/streams?from=0", h, nullptr, "key-w2");
  EXPECT_EQ(other.status, 403) << "another workspace's token";
  std::string forged = token;
  forged[0] = forged[0] == '0' ? '1' : '0';
  EXPECT_EQ(f.call(1, "GET", "/v1/streams?from=0",
                   "X-Resume-Token: " + forged + "\r\n", nullptr)
                .status,
            403);
}

// An engine may close its connection regularly between two chunks. The router
// must not take the stream, which lacks [DONE], for a complete one.
TEST(Fleet, TruncatedEngineStreamIsNotReportedAsComplete) {
  TestFleet f(spec(1, 1, 1));
  bb_load_t *L = bb_start_load(f.lab, 1);
  bb_flow_t flow{};
  flow.workspace = 1;
  flow.concurrency = 4;
  flow.shorttokens = 400;
  bb_add_flow(L, &flow);
  ASSERT_TRUE(f.wait_until([&] { return bb_flow_stats(L, 0)->tokens > 40; }));
  bb_stop_flow(L, -1);
  bb_end_proc(f->engines[0].proc, SIGKILL);
  ASSERT_TRUE(bb_wait_idle(L, 30000));
  EXPECT_LT(bb_flow_stats(L, 0)->tokens, 1600);
  EXPECT_EQ(bb_metric(f.lab, 0, "answers_total"), 0);
  EXPECT_EQ(bb_metric(f.lab, 0, "refusals_total{reason=\"target_lost\"}"), 4);
  bb_stop_load(L);
}

// A caller that disconnects cancels its request, whether it is running at the
// engine or waiting at the router.
TEST(Fleet, CallerDisconnectCancelsItsWork) {
  TestFleet f(spec(1, 1, 1));
  auto ignore = [] (void *, mt_call_t *, const mt_callev_t *) {};
  std::string body = stream_request_body(90000);
  mt_callspec_t call = asked(f, body, "Authorization: Bearer key-w1\r\n");
  std::vector<mt_call_t *> calls;
  for (int i = 0; i < 6; i++) // four run, two wait
    calls.push_back(mtY_call(f->http, &call, ignore, nullptr));
  ASSERT_TRUE(f.wait_until([&] {
    return bb_metric(f.lab, 0, "requests_running") == 4 &&
           bb_metric(f.lab, 0, "requests_waiting") == 2;
  }));
  for (mt_call_t *c : calls) mtY_cancel(c);
  EXPECT_TRUE(f.wait_until([&] {
    json_t *s = bb_get_json(f.lab, &f->engines[0].addr, "/stats");
    json_int_t active = json_integer_value(json_object_get(s, "active"));
    json_decref(s);
    return active == 0 && bb_metric(f.lab, 0, "requests_waiting") == 0;
  }));
  EXPECT_EQ(bb_metric(f.lab, 0, "refusals_total{reason=\"caller_left\"}"), 6);
}

// Requests with the same key at one router share one run and get its complete
// reply, also one that joins mid-stream.
TEST(Fleet, RepeatableCallsWithOneKeyShareOneRun) {
  TestFleet f(spec(1, 1, 1));
  struct Received {
    std::string text;
    bool done = false;
  } got[3];
  auto onevent = [] (void *ud, mt_call_t *, const mt_callev_t *ev) {
    Received *g = (Received *)ud;
    if (ev->kind == MT_CALL_BODY) g->text.append(ev->data.p, ev->data.n);
    g->done |= ev->kind == MT_CALL_END;
  };
  std::string body = stream_request_body(80);
  mt_callspec_t call = asked(
      f, body, "Authorization: Bearer key-w1\r\nIdempotency-Key: k\r\n");
  mtY_call(f->http, &call, onevent, &got[0]);
  mtY_call(f->http, &call, onevent, &got[1]);
  ASSERT_TRUE(f.wait_until([&] { return got[0].text.size() > 2000; }));
  mtY_call(f->http, &call, onevent, &got[2]); // joins mid-stream
  ASSERT_TRUE(f.wait_until(
      [&] { return got[0].done && got[1].done && got[2].done; }));
  EXPECT_NE(got[0].text.find("[DONE]"), std::string::npos);
  EXPECT_EQ(got[0].text, got[1].text);
  EXPECT_EQ(got[0].text, got[2].text);
  EXPECT_EQ(bb_metric(f.lab, 0, "attempts_total"), 1);
}

TEST(Fleet, DrainCompletesAllRequests) {
  TestFleet f(spec(2, 1, 1));
  bb_load_t *L = bb_start_load(f.lab, 1);
  bb_flow_t flow{};
  flow.workspace = 1;
  flow.concurrency = 8;
  flow.shorttokens = 150;
  bb_add_flow(L, &flow);
  ASSERT_TRUE(f.wait_until([&] {
    return bb_metric(f.lab, 0, "requests_waiting") +
               bb_metric(f.lab, 0, "requests_running") ==
           8;
  }));
  bb_stop_flow(L, -1);
  int status = bb_end_proc(f->routers[0].proc, SIGTERM);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_TRUE(bb_wait_idle(L, 30000));
  EXPECT_EQ(bb_flow_stats(L, 0)->completed, bb_flow_stats(L, 0)->asked);
  EXPECT_EQ(bb_flow_stats(L, 0)->tokens,
            150 * (int64_t)bb_flow_stats(L, 0)->asked);
  bb_stop_load(L);
}

TEST(Fleet, ForgedPeerFramesAreRejectedAndCounted) {
  TestFleet f(spec(1, 1, 1));
  // A frame is length, MAC, message.
  struct Row {
    const char *name;
    std::string bytes;
    const char *counter;
  } rows[] = {
      {"wrong MAC", std::string("\0\0\0\x14", 4) + std::string(20, 'x'),
       "peer_frames_forged_total"},
      {"too short", std::string("\0\0\0\x02xx", 6),
       "peer_frames_forged_total"},
      {"too long", std::string("\x7f\0\0\0", 4), "peer_frames_bad_total"},
  };
  for (const Row &row : rows) {
    double before = bb_metric(f.lab, 0, row.counter);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(f->routers[0].peers.port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
    ASSERT_EQ(write(fd, row.bytes.data(), row.bytes.size()),
              (ssize_t)row.bytes.size());
    char buf[64];
    ssize_t n;
    while ((n = read(fd, buf, sizeof buf)) > 0)
      continue; // challenge, then end
    EXPECT_LE(n, 0);
    close(fd);
    EXPECT_EQ(bb_metric(f.lab, 0, row.counter), before + 1) << row.name;
  }
}

TEST(Fleet, PartitionedDomainServesItsRequestsAndRejoins) {
  TestFleet f(spec(2, 2, 2, true));
  auto set_links = [&] (const char *mode) {
    bb_set_link(f.lab, bb_link_port(f.lab, 0, "r2"), mode, 0);
    bb_set_link(f.lab, bb_link_port(f.lab, 1, "r1"), mode, 0);
    bb_set_link(f.lab, bb_link_port(f.lab, 0, "e2"), mode, 0);
    bb_set_link(f.lab, bb_link_port(f.lab, 1, "e1"), mode, 0);
    bb_set_link(f.lab, bb_link_port(f.lab, 1, "store"), mode, 0);
  };
  set_links("cut");
  for (int k = 0; k < 6; k++) {
    EXPECT_EQ(f.chat(0, "tokens=2").status, 200);
    EXPECT_EQ(f.chat(1, "tokens=2").status, 200);
  }
  std::string a = f.file("a.lua", "function order(r) return 1 end\n");
  EXPECT_EQ(f.cli({"policy", "publish", "x", a.c_str()}), 0);
  EXPECT_TRUE(f.wait_until(
      [&] { return bb_metric(f.lab, 0, "config_revision") == 2; }));
  EXPECT_EQ(bb_metric(f.lab, 1, "config_revision"), 1);
  set_links("pass");
  EXPECT_TRUE(bb_wait_converged(f.lab, 2, 30000));
}

} // namespace
