// reducer.h - drives one router's reducer with events and a manual clock.
#ifndef reducer_h
#define reducer_h

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "mtconf.h"
#include "mtcore.h"
#include "mtcrypt.h"
#include "mtsched.h"
}

inline mt_bytes_t bytesof (const std::string &s) {
  return mt_bytes_t{s.data(), s.size()};
}

inline std::string sha (const std::string &s) {
  char out[MT_DIGEST_HEX + 1];
  mtH_sha256(s.data(), s.size(), out);
  return out;
}

// A configuration of one pool "p" (model "m") and one service "s".
struct Fleet {
  json_t *doc;
  Fleet() {
    doc = json_pack("{s:{s:{s:s,s:[s],s:i},s:{s:s}},s:{},s:{},s:{}}", "pools",
                    "p", "kind", "model", "models", "m", "prompt_weight", 0,
                    "s", "kind", "service", "targets", "workspaces",
                    "policies");
  }
  ~Fleet() {
    json_decref(doc);
  }
  void target (const char *name, const char *domain, int slots,
               const char *pool = "p", bool leaving = false) {
    json_object_set_new(json_object_get(doc, "targets"), name,
                        json_pack("{s:s,s:s,s:s,s:i,s:b}", "pool", pool,
                                  "domain", domain, "url",
                                  "http://127.0.0.1:9", "slots", slots,
                                  "leaving", (int)leaving));
  }
  void workspace (const std::string &name, int share = 1) {
    json_object_set_new(json_object_get(doc, "workspaces"), name.c_str(),
                        json_pack("{s:s,s:i}", "key_sha256",
                                  sha("key-" + name).c_str(), "share",
                                  share));
  }
  void policy (const char *name, const char *program) {
    json_object_set_new(
        json_object_get(doc, "policies"), name,
        json_pack("{s:s,s:i}", "program", program, "revision", 1));
  }
};

// A router without peers, in domain "d0" by default.
struct Router {
  mt_state_t *S;
  mt_ms_t now = 1000000;
  mt_effects_t fx{};
  std::string trace;            // all effects so far, as bytes
  std::vector<mt_effect_t> out; // of the last step, without MT_FX_SEND

  explicit Router(const char *domain = "d0", const char *node = "r1") {
    mt_settings_t set{};
    snprintf(set.node, sizeof set.node, "%s", node);
    snprintf(set.domain, sizeof set.domain, "%s", domain);
    snprintf(set.region, sizeof set.region, "one");
    snprintf(set.advertise.ip, sizeof set.advertise.ip, "127.0.0.1");
    set.advertise.port = 1;
    set.nkeys = 1;
    S = mtR_new(&set, now, 77, 42);
  }
  ~Router() {
    mtR_free(S);
    free(fx.at);
  }
  Router(const Router &) = delete;

  void step (mt_event_t ev) {
    ev.now = now;
    mtR_step(S, &ev, &fx);
    out.clear();
    for (size_t i = 0; i < fx.n; i++) {
      mt_effect_t e = fx.at[i];
      trace += std::to_string(e.kind) + ":" + std::to_string(e.req) + ":" +
               std::to_string(e.attempt) + ":";
      if (e.kind == MT_FX_SEND)
        trace.append(e.u.send.bytes, e.u.send.n);
      else if (e.kind == MT_FX_START)
        trace += std::to_string(e.u.start.target);
      else if (e.kind == MT_FX_REJECT)
        trace += std::to_string(e.u.reject.why);
      trace += ";";
      if (e.kind != MT_FX_SEND) out.push_back(e);
    }
    mtR_clear(&fx);
  }
  void tick (mt_ms_t ms = MT_TICK_MS) {
    now += ms;
    mt_event_t ev{};
    ev.kind = MT_EV_TICK;
    step(ev);
  }
  // Delivers a configuration as the store would: its head, then its parts.
  void configure (const Fleet &f, int64_t revision) {
    json_t *parts = mtK_split(f.doc), *sections = json_object(), *t;
    const char *name;
    json_object_foreach (parts, name, t) {
      json_object_set_new(sections, name,
                          json_string(sha(json_string_value(t)).c_str()));
    }
    json_t *head = json_pack("{s:I,s:o}", "revision", (json_int_t)revision,
                             "sections", sections);
    char *text = json_dumps(head, 0);
    mt_event_t ev{};
    ev.kind = MT_EV_CONFIG_HEAD;
    ev.u.config_head.status = 200;
    ev.u.config_head.revision = revision;
    ev.u.config_head.text = mt_bytes_t{text, strlen(text)};
    step(ev);
    json_object_foreach (parts, name, t) {
      std::string s = json_string_value(t), d = sha(s);
      mt_event_t part{};
      part.kind = MT_EV_CONFIG_PART;
      part.u.part.status = 200;
      part.u.part.digest = bytesof(d);
      part.u.part.text = bytesof(s);
      step(part);
    }
    free(text);
    json_decref(head);
    json_decref(parts);
  }
  // A request for a completion by model "m", or to service "s".
  void request (uint64_t id, const std::string &ws, mt_reqparams_t a = {}) {
    std::string digest = sha("key-" + ws), model = a.service ? "s" : "m";
    mt_event_t ev{};
    ev.kind = MT_EV_REQUEST;
    ev.req = id;
    a.keydigest = digest.c_str();
    if (a.model.n == 0) a.model = bytesof(model);
    ev.u.request = a;
    step(ev);
  }
  // An event of attempt `n` at a request.
  mt_event_t attempt (mt_evkind_t kind, uint64_t id, uint32_t n) {
    mt_event_t ev{};
    ev.kind = kind;
    ev.req = id;
    ev.attempt = n;
    return ev;
  }
  // Attempt `n` fails.
  void failed (uint64_t id, uint32_t n, bool notrun, bool busy = false) {
    mt_event_t ev = attempt(MT_EV_FAILED, id, n);
    ev.u.failed.notrun = notrun;
    ev.u.failed.busy = busy;
    step(ev);
  }
  // Attempt `n` ends with a complete response of this many output tokens.
  void ended (uint64_t id, uint32_t n, int64_t tokens) {
    step(attempt(MT_EV_HEAD, id, n));
    mt_event_t ev = attempt(MT_EV_END, id, n);
    ev.u.end.prompt = 0;
    ev.u.end.output = tokens;
    step(ev);
  }
  // The last step's effect of a kind for a request, or nullptr.
  const mt_effect_t *find (mt_fxkind_t kind, uint64_t id) const {
    for (const mt_effect_t &e : out)
      if (e.kind == kind && e.req == id) return &e;
    return nullptr;
  }
};

#endif
