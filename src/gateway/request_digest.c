/*
** request_digest.c - identifies equal requests across the fleet
*/
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "request_digest.h"

/* Each part is preceded by its length, so that moving bytes from one part to
   the next changes the digest. */
static void add (EVP_MD_CTX *ctx, mt_bytes_t part) {
  uint64_t size = part.n;
  EVP_DigestUpdate(ctx, &size, sizeof size);
  EVP_DigestUpdate(ctx, part.p, part.n);
}

uint64_t mt_request_digest (const mt_request_text_t *text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  uint64_t digest;
  EVP_MD_CTX *ctx = EVP_MD_CTX_new();
  if (ctx == NULL || EVP_DigestInit_ex(ctx, EVP_sha256(), NULL) != 1) abort();
  add(ctx, text->method);
  add(ctx, text->host);
  add(ctx, text->target);
  add(ctx, text->body);
  EVP_DigestFinal_ex(ctx, out, NULL);
  EVP_MD_CTX_free(ctx);
  memcpy(&digest, out, sizeof digest);
  return digest | 1;
}
