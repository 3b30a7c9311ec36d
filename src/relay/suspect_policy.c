/*
** suspect_policy.c - what the suspects among a request's names mean for it
*/
#include "suspect_policy.h"

static bool is_answered (const mt_suspects_t *t, const mt_suspect_t *s) {
  mt_ms_t at = mt_suspects_last_answer(t, s->digest);
  return at != 0 && at >= s->since;
}

/* The order in which suspects are tried; equal at all routers. */
static bool goes_before (const mt_suspect_t *s, const mt_suspect_t *other) {
  int ends = s->earlier + s->listed, others = other->earlier + other->listed;
  return ends != others ? ends > others : s->digest < other->digest;
}

mt_suspect_ruling_t mt_suspect_rule (const mt_suspects_t *t,
                                     const uint64_t *names, size_t count,
                                     mt_id_t workspace, mt_ms_t now) {
  mt_suspect_ruling_t ruling = {.decision = MT_SUSPECT_PASS};
  const mt_suspect_t *first = NULL;
  for (size_t i = 0; i < count && t->by_digest.used > 0; i++) {
    const mt_suspect_t *s = mt_suspects_get(t, names[i]);
    if (s == NULL || !mt_suspect_is_restricted(s) || is_answered(t, s))
      continue;
    mt_suspect_status_t status = mt_suspects_status(t, names[i], now);
    if (status.left > ruling.left && mt_suspect_applies_to(s, workspace) &&
        !mt_suspects_is_explained(t, s, names, count))
      ruling =
          (mt_suspect_ruling_t){MT_SUSPECT_REFUSE, names[i], status.left};
    if (first == NULL || goes_before(s, first)) first = s;
  }
  if (ruling.decision == MT_SUSPECT_PASS && first != NULL) {
    ruling.decision = MT_SUSPECT_TRIAL;
    ruling.name = first->digest;
  }
  return ruling;
}

bool mt_suspect_is_inseparable (const mt_suspects_t *t, uint64_t name,
                                uint64_t other) {
  const mt_suspect_t *a = mt_suspects_get(t, name),
                     *b = mt_suspects_get(t, other);
  if (a == NULL || b == NULL || name == other) return name == other;
  return mt_suspect_covers(a, b) && mt_suspect_covers(b, a);
}
