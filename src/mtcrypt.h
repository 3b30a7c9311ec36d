/*
** mtcrypt.h - digests, message authentication codes and resume tokens
*/
#ifndef mtcrypt_h
#define mtcrypt_h

#include "mtfleet.h"
#include "mtset.h"

#define MT_MAC_BYTES 16   /* of a frame's truncated HMAC */
#define MT_NONCE_BYTES 16 /* of a connection's challenge */

/* SHA-256 of n bytes, in lower-case hexadecimal. */
void mtH_sha256 (const void *p, size_t n, char out[MT_DIGEST_HEX + 1]);

/*
** HMAC-SHA-256 of the nonce, the counter (8 bytes, little-endian) and the
** SHA-256 of n bytes, truncated to MT_MAC_BYTES.
*/
void mtH_mac (const unsigned char key[MT_PEER_KEY_BYTES],
              const unsigned char nonce[MT_NONCE_BYTES], uint64_t counter,
              const void *p, size_t n, unsigned char out[MT_MAC_BYTES]);

/* True for n equal bytes; takes constant time. */
bool mtH_equal (const void *a, const void *b, size_t n);

/* Fills with cryptographically secure random bytes; aborts on failure. */
void mtH_random (void *p, size_t n);

/* A resume token: lets a caller reconnect to its stream at any router. */
typedef struct mt_resume_token_t {
  mt_id_t ws, target;
  uint64_t stream;  /* id of the stream at the target */
  uint64_t expires; /* Unix time, s */
} mt_resume_token_t;

#define MT_TOKEN_BYTES 128 /* buffer for a token as text */

/* Encodes a token as text, signed with the first peer key. */
void mtH_sign (const mt_settings_t *set, const mt_resume_token_t *t,
               char out[MT_TOKEN_BYTES]);

/*
** Decodes a token signed with any of the peer keys; false when forged or
** malformed. Does not check `expires`.
*/
bool mtH_verify (const mt_settings_t *set, const char *text,
                 mt_resume_token_t *t);

#endif
