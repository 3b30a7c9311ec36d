/*
** mtcrypt.h - digests, message codes and tokens, on OpenSSL
*/
#ifndef mtcrypt_h
#define mtcrypt_h

#include "mtfleet.h"
#include "mtset.h"

#define MT_MAC 16   /* bytes of a frame's code */
#define MT_NONCE 16 /* bytes of a connection's challenge */

/* SHA-256 in lower-case hexadecimal. */
void mtH_sha256 (const void *p, size_t n, char out[MT_DIGEST_HEX + 1]);

/* HMAC-SHA-256 of a nonce, a counter and the bytes, cut to MT_MAC. */
void mtH_mac (const unsigned char key[MT_PEER_KEY],
              const unsigned char nonce[MT_NONCE], uint64_t counter,
              const void *p, size_t n, unsigned char out[MT_MAC]);

/* Compares in constant time. */
bool mtH_same (const void *a, const void *b, size_t n);

/* Fills with bytes from the system's generator. */
void mtH_random (void *p, size_t n);

/* What a resume token says. */
typedef struct mt_token_t {
  mt_id_t ws, target;
  uint64_t stream;  /* the stream's name at the target */
  uint64_t expires; /* seconds of wall-clock time */
} mt_token_t;

#define MT_TOKEN_TEXT 128

/* Signs a token with the first key, as text. */
void mtH_sign (const mt_settings_t *set, const mt_token_t *t,
               char out[MT_TOKEN_TEXT]);

/* Reads a token signed with any of the keys; false when forged or malformed.
 */
bool mtH_verify (const mt_settings_t *set, const char *text, mt_token_t *t);

#endif
