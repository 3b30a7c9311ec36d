/*
** request_digest.c - what a request is, whoever sends it and wherever
*/
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "request_digest.h"

/* Each part behind its length: else parts could borrow from each other. */
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
