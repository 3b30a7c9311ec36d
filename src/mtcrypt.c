/*
** mtcrypt.c - digests, message authentication codes and resume tokens
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "mtcrypt.h"

#define SHA_BYTES 32 /* of a SHA-256 digest */

static void hex (const unsigned char *p, size_t n, char *out) {
  static const char digits[] = "0123456789abcdef";
  for (size_t i = 0; i < n; i++) {
    out[2 * i] = digits[p[i] >> 4];
    out[2 * i + 1] = digits[p[i] & 15];
  }
  out[2 * n] = '\0';
}

void mtH_sha256 (const void *p, size_t n, char out[MT_DIGEST_HEX + 1]) {
  unsigned char d[SHA_BYTES];
  unsigned len;
  EVP_Digest(p, n, d, &len, EVP_sha256(), NULL);
  hex(d, SHA_BYTES, out);
}

void mtH_mac (const unsigned char key[MT_PEER_KEY_BYTES],
              const unsigned char nonce[MT_NONCE_BYTES], uint64_t counter,
              const void *p, size_t n, unsigned char out[MT_MAC_BYTES]) {
  unsigned char head[MT_NONCE_BYTES + 8], full[EVP_MAX_MD_SIZE],
      inner[SHA_BYTES];
  unsigned len;
  EVP_Digest(p, n, inner, &len, EVP_sha256(), NULL);
  memcpy(head, nonce, MT_NONCE_BYTES);
  for (int i = 0; i < 8; i++)
    head[MT_NONCE_BYTES + i] = (unsigned char)(counter >> (8 * i));
  unsigned char all[sizeof head + SHA_BYTES];
  memcpy(all, head, sizeof head);
  memcpy(all + sizeof head, inner, SHA_BYTES);
  HMAC(EVP_sha256(), key, MT_PEER_KEY_BYTES, all, sizeof all, full, &len);
  memcpy(out, full, MT_MAC_BYTES);
}

bool mtH_equal (const void *a, const void *b, size_t n) {
  return CRYPTO_memcmp(a, b, n) == 0;
}

void mtH_random (void *p, size_t n) {
  if (RAND_bytes(p, (int)n) != 1) abort();
}

/* {== Resume tokens ==================================================== */

static void tokenmac (const unsigned char key[MT_PEER_KEY_BYTES],
                      const char *body, char out[2 * MT_MAC_BYTES + 1]) {
  static const unsigned char nonce[MT_NONCE_BYTES] = "resume-token";
  unsigned char mac[MT_MAC_BYTES];
  mtH_mac(key, nonce, 0, body, strlen(body), mac);
  hex(mac, MT_MAC_BYTES, out);
}

void mtH_sign (const mt_settings_t *set, const mt_resume_token_t *t,
               char out[MT_TOKEN_BYTES]) {
  char mac[2 * MT_MAC_BYTES + 1], body[80];
  snprintf(body, sizeof body,
           "%08" PRIx32 "%08" PRIx32 "%016" PRIx64 "%016" PRIx64, t->ws,
           t->target, t->stream, t->expires);
  tokenmac(set->keys[0], body, mac);
  snprintf(out, MT_TOKEN_BYTES, "%s.%s", body, mac);
}

bool mtH_verify (const mt_settings_t *set, const char *text,
                 mt_resume_token_t *t) {
  char body[49], mac[2 * MT_MAC_BYTES + 1];
  if (strlen(text) != 48 + 1 + 2 * MT_MAC_BYTES || text[48] != '.')
    return false;
  memcpy(body, text, 48);
  body[48] = '\0';
  bool good = false;
  for (size_t i = 0; i < set->nkeys; i++) {
    tokenmac(set->keys[i], body, mac);
    good |= mtH_equal(mac, text + 49, 2 * MT_MAC_BYTES);
  }
  if (!good) return false;
  return sscanf(body, "%8" SCNx32 "%8" SCNx32 "%16" SCNx64 "%16" SCNx64,
                &t->ws, &t->target, &t->stream, &t->expires) == 4;
}

/* }== */
