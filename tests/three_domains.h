// three_domains.h - test fixture: a relay with engines in three failure
// domains
#ifndef three_domains_h
#define three_domains_h

#include "relay.h"

// Engines m1 to m4 and p1 are in the local domain d1, m5 to m8 and p2 in d2,
// m9 to m12 and p3 in d3.
struct ThreeDomains : Relay {
  ThreeDomains() : Relay(12) {
    declare();
    relay->routers = 2;
    relay->params.remote_wait_fraction = 0.6;
    relay->params.remote_wait_fraction_over_share = 0.1;
    for (int i = 1; i <= 12; i++) {
      place(m(i), (i + 3) / 4);
      mt_engine_t *p = find("p" + std::to_string(i));
      if (i <= 3)
        place(p, i);
      else
        p->state = MT_ENGINE_GONE;
    }
  }
  using Relay::find;
  mt_engine_t *m (int i) {
    return find("m" + std::to_string(i));
  }
  static void place (mt_engine_t *e, int domain) {
    std::string name = "d" + std::to_string(domain);
    e->domain = strdup(name.c_str());
    e->domain_id = mtV_id(name.data(), name.size());
    e->remote = domain != 1;
  }
  mt_id_t domain_of (uint64_t key) {
    return mt_engines_get(&relay->engines, key)->domain_id;
  }
  // The asked owners reply with these loads: pending prefill tokens at local
  // and at remote engines, and running requests at local ones.
  void reply (uint64_t number, int64_t local, int64_t remote,
              int running = 0) {
    std::vector<mt_relay_quote_t> quotes;
    for (uint64_t key : asked(number)) {
      bool is_remote = mt_engines_get(&relay->engines, key)->remote;
      mt_relay_quote_t quote{};
      quote.engine = key;
      quote.peers = {is_remote ? remote : local, 0, is_remote ? 0 : running};
      quotes.push_back(quote);
    }
    mt_relay_event_t event{};
    event.kind = MT_RELAY_QUOTED;
    event.request = number;
    event.u.quotes.list = quotes.data();
    event.u.quotes.count = quotes.size();
    step(event);
  }
  uint64_t started (uint64_t number) {
    const mt_relay_effect_t *fx = find(MT_RELAY_DO_START, number);
    return fx != nullptr ? fx->u.start.engine : 0;
  }
};

const int64_t full = 500000; // pending prefill tokens: seconds of work

#endif
