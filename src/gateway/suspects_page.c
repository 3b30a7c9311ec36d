/*
** suspects_page.c - the operators' page of what is suspected of crashing
** engines
*/
#include <stdlib.h>
#include <string.h>

#include "suspects_page.h"

#define PATH "/suspects"
#define DIGEST_HEX 16

bool mt_suspects_page_matches (mt_bytes_t target) {
  size_t n = sizeof PATH - 1;
  if (target.n < n || memcmp(target.p, PATH, n) != 0) return false;
  return target.n == n || target.p[n] == '/';
}

uint64_t mt_suspects_page_digest (mt_bytes_t target) {
  char text[DIGEST_HEX + 1];
  char *end;
  if (target.n != sizeof PATH + DIGEST_HEX) return 0;
  memcpy(text, target.p + sizeof PATH, DIGEST_HEX);
  text[DIGEST_HEX] = '\0';
  uint64_t digest = strtoull(text, &end, 16);
  return *end == '\0' ? digest : 0;
}

void mt_suspects_page_list (const mt_suspects_t *suspects, mt_ms_t now,
                            mt_strbuf_t *out) {
  mtV_each (&suspects->by_digest, i) {
    uint64_t digest = suspects->by_digest.keys[i];
    mt_suspect_status_t s = mt_suspects_status(suspects, digest, now);
    mt_strbuf_format(out, "%s=%016llx state=%s ends=%d alone=%d left=%llu\n",
                     mt_suspect_name_kind(digest), (unsigned long long)digest,
                     mt_suspicion_name(s.state), s.ends, s.alone,
                     (unsigned long long)s.left);
  }
}
